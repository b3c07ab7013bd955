//! Workers as the leader knows them: what they offer, and every run that may be there.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use work::{Attempt, Task};

use crate::lost_runs::LostRun;
use crate::quota::Charge;

/// A worker that is missing in the list is used this much longer, if it answers: its entry may be on its way back.
const LIST_GRACE: Duration = Duration::from_millis(2500);
/// How long a worker is avoided after the first trouble: about as long as a passing disturbance.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The pause grows up to 8 s; then the worker is tried again.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// Failures in a row, of any tasks, after which a worker is avoided.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// After its pause a worker is on trial for so long, unless a task is done there. Without an end to it a gang that needs every
/// worker waited for ever, once all single tasks were done.
const PROBATION: Duration = Duration::from_secs(10);
/// The progress of a run rises at least this often: a hundredth of the longest ones, of 16 s, takes 0.16 s, and reports come
/// every 0.4 s. Where they come more rarely it is longer by that.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1200);
/// A run that is listed so long after it began doesn't take its worker down by beginning: ten times what that takes.
const STARTUP_WINDOW: Duration = Duration::from_millis(100);
/// A worker that hasn't answered for so long gets no new work: three renewals have failed. Where renewals are further apart it is
/// longer by that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// What a worker says of itself in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Where it takes orders: address and port.
    pub address: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Data centre.
    pub zone: String,
    /// Labels: its kind first, its rack last.
    pub labels: Vec<String>,
    /// What it offers.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether its data centre is being evacuated: nothing new is sent there until that is taken back.
    pub evacuated: bool,
}

impl WorkerInfo {
    /// Whether it may get new work, as far as it goes by the platform's list.
    pub(crate) fn is_open(&self) -> bool {
        !self.draining && !self.evacuated
    }
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run.
    pub attempt: Attempt,
    /// Its last checkpoint; empty for none.
    pub saved: String,
    /// Its progress, in percent.
    pub percent: u8,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't come in time.
    Alone,
}

impl RunOutcome {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RunOutcome::Done => "done",
            RunOutcome::Failed => "failed",
            RunOutcome::Stopped => "stopped",
            RunOutcome::Lapsed => "lapsed",
            RunOutcome::Broken => "broken",
            RunOutcome::Alone => "alone",
        }
    }
}

/// An end that a worker lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Rises from 1 in each life of a worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The run.
    pub attempt: Attempt,
    /// How it ended.
    pub how: RunOutcome,
    /// Its last checkpoint; empty for none.
    pub saved: String,
}

/// What a worker answers to a renewal of its leases.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// [`crate::Engine::mark`] when the renewal was sent: what was settled before must show.
    pub mark: u64,
    /// All that runs there.
    pub running: Vec<Running>,
    /// Ends not acknowledged yet, in the order of their numbers.
    pub ended: Vec<End>,
}

impl Report {
    /// Runs that it tells of, running or ended.
    pub(crate) fn listed(&self) -> BTreeSet<(Task, Attempt)> {
        let running = self.running.iter().map(|row| (row.task, row.attempt));
        let ended = self.ended.iter().map(|end| (end.task, end.attempt));
        running.chain(ended).collect()
    }
}

/// What is known of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start was sent.
    Starting,
    /// The worker confirmed it, at this mark.
    Running(u64),
    /// A stop is on its way; what the start did doesn't matter any more.
    Stopping,
    /// The worker took the stop, at this mark.
    Stopped(u64),
}

/// A run that is, or may be, on a worker. It takes room until its end is certain.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub phase: Phase,
    pub need: Resources,
    /// What it takes of its workspace's limit.
    pub charge: Option<Charge>,
    /// Priority of its queue, if it may be stopped for a more urgent one: it goes on from a checkpoint.
    pub stoppable: Option<u32>,
    pub percent: u8,
    /// When the percentage last rose.
    pub progressed_at: Duration,
    /// When it was decided on, or found there.
    pub decided_at: Duration,
    /// When the worker answered its start, or first listed it.
    pub begun: Option<Duration>,
    /// Whether the worker has listed it: an answer to its start may be that of the worker's next life.
    pub listed: bool,
    /// Whether the worker has listed it when it had run for a moment.
    pub seen_running: bool,
    /// Whether its task may take the worker down; see [`crate::crashes`].
    pub suspect: bool,
}

/// Whether orders can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It hasn't answered in this reign: an earlier leader may have started anything there.
    Unknown,
    /// It has answered under this reign's term, so that no earlier leader's orders are taken any more.
    Held,
    /// It hasn't answered for so long that its leases have run out. Nothing runs there.
    Lapsed,
}

/// How little is to be expected of a worker; the less the better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// Nothing speaks against it.
    Good,
    /// Its last run failed, or nothing moves there.
    Degraded,
    /// It has failed again and again: it gets one task at a time until one is done.
    Probation,
    /// It is left alone for a while.
    Avoided,
}

/// How far apart renewals are, beyond the usual.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Pauses {
    /// Of workers on which nothing runs.
    pub idle: Duration,
    /// Of the others.
    pub busy: Duration,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub info: Arc<WorkerInfo>,
    pub contact: Contact,
    /// Since when the platform's list lacks it; `None` while it is listed.
    pub unlisted_since: Option<Duration>,
    /// Position of the record that names it; it gets orders only when that is durable.
    pub position: u64,
    /// When it last answered.
    pub last_heard: Duration,
    pub free: Resources,
    pub runs: BTreeMap<(Task, Attempt), Run>,
    /// Runs that it hasn't listed yet.
    pub new_runs: u32,
    /// Of these, those of suspects.
    pub suspects: u32,
    /// What was there when it was last heard of, though its leases have run out or an earlier leader placed it. It counts if the worker
    /// turns out to have ended.
    pub possibly_lost: Vec<LostRun>,
    /// Whether it follows another life under its name; see [`crate::handover`].
    pub follows_earlier_life: bool,
    /// Highest end that was taken in.
    pub taken: u64,
    /// Ends that wait for their records: number, and position of the records.
    pub pending: VecDeque<(u64, u64)>,
    /// Highest end that may be acknowledged.
    pub acked: u64,
    /// Runs that failed since the last one that was done.
    pub failures: u32,
    /// Starts without an answer since the last one that was answered.
    pub unanswered: u32,
    /// Until when it is avoided.
    pub avoid_until: Duration,
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo, unlisted_since: Option<Duration>, position: u64, now: Duration) -> Worker {
        Worker {
            free: info.capacity,
            info: Arc::new(info),
            contact: Contact::Unknown,
            unlisted_since,
            position,
            last_heard: now,
            runs: BTreeMap::new(),
            new_runs: 0,
            suspects: 0,
            possibly_lost: Vec::new(),
            follows_earlier_life: false,
            taken: 0,
            pending: VecDeque::new(),
            acked: 0,
            failures: 0,
            unanswered: 0,
            avoid_until: Duration::ZERO,
        }
    }

    /// Leaves it alone for a while, twice as long with each time.
    pub(crate) fn avoid(&mut self, now: Duration, times: u32) {
        let pause = FIRST_PAUSE * 2u32.pow(times.min(MAX_PAUSE_DOUBLINGS));
        self.avoid_until = self.avoid_until.max(now + pause);
    }

    /// How little is to be expected of it.
    pub(crate) fn health(&self, now: Duration, pauses: Pauses) -> Health {
        if self.avoid_until > now {
            Health::Avoided
        } else if self.failures >= MAX_CONSECUTIVE_FAILURES && now < self.avoid_until + PROBATION {
            Health::Probation
        } else if self.failures > 0 || self.is_stuck(now, pauses.busy) {
            Health::Degraded
        } else {
            Health::Good
        }
    }

    /// Whether it runs something, and none of it has moved lately.
    fn is_stuck(&self, now: Duration, pause: Duration) -> bool {
        let still = NO_PROGRESS_TIMEOUT + pause;
        let moves =
            |run: &Run| !matches!(run.phase, Phase::Running(_)) || now.saturating_sub(run.progressed_at) < still;
        !self.runs.is_empty() && !self.runs.values().any(moves)
    }

    /// Takes the room of a run.
    pub(crate) fn add_run(&mut self, task: Task, attempt: Attempt, run: Run) {
        self.free = self.free.saturating_sub(&run.need);
        self.new_runs += u32::from(!run.seen_running);
        self.suspects += u32::from(!run.seen_running && run.suspect);
        self.runs.insert((task, attempt), run);
    }

    /// Takes note that it lists a run, if it has it.
    pub(crate) fn mark_listed(&mut self, now: Duration, task: Task, attempt: Attempt) -> Option<&mut Run> {
        let run = self.runs.get_mut(&(task, attempt))?;
        run.listed = true;
        let begun = *run.begun.get_or_insert(now);
        if !run.seen_running && now.saturating_sub(begun) >= STARTUP_WINDOW {
            run.seen_running = true;
            self.new_runs -= 1;
            self.suspects -= u32::from(run.suspect);
        }
        Some(run)
    }

    /// Whether it may get new work.
    ///
    /// Entries that ran out while the store was away come back a little later: a worker that answers meanwhile
    /// goes on being used.
    pub(crate) fn usable(&self, now: Duration, durable: u64, pauses: Pauses) -> bool {
        let listed = self.unlisted_since.is_none_or(|since| now.saturating_sub(since) < LIST_GRACE);
        let pause = if self.runs.is_empty() { pauses.idle } else { pauses.busy };
        let responsive = now.saturating_sub(self.last_heard) < SILENCE_TIMEOUT + pause;
        listed && responsive && self.contact == Contact::Held && self.info.is_open() && self.position <= durable
    }

    /// Gives the room of a run back, by counting anew: an adopted run may have exceeded the room.
    pub(crate) fn remove_run(&mut self, task: Task, attempt: Attempt) -> Option<Run> {
        let run = self.runs.remove(&(task, attempt))?;
        self.recount();
        Some(run)
    }

    /// Counts the free room and the new runs anew.
    pub(crate) fn recount(&mut self) {
        let new = || self.runs.values().filter(|run| !run.seen_running);
        self.new_runs = new().count() as u32;
        self.suspects = new().filter(|run| run.suspect).count() as u32;
        self.free = self.runs.values().fold(self.info.capacity, |free, run| free.saturating_sub(&run.need));
    }

    /// Whether its runs take more than it offers now: its room may shrink while they go on.
    pub(crate) fn is_overcommitted(&self) -> bool {
        let taken = self.runs.values().fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.need));
        !taken.fits_in(&self.info.capacity)
    }

    /// Raises what may be acknowledged to what is durable.
    pub(crate) fn acknowledge(&mut self, durable: u64) {
        while let Some((number, position)) = self.pending.front().copied() {
            if position > durable {
                return;
            }
            self.acked = number;
            self.pending.pop_front();
        }
    }
}
