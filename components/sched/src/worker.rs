//! Workers as the leader knows them: what they offer, and every run that may be there.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use work::{Attempt, Task};

use crate::lost_runs::{LostRun, ReportedEnds};
use crate::quota::Charge;

/// How long a worker that answers is still used after it disappeared from the platform's list: its entry may come
/// back.
const LIST_GRACE: Duration = Duration::from_millis(2500);
/// How long a worker is avoided after the first problem: about as long as a transient disturbance lasts.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The pause doubles up to 8 s.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// Consecutive failed runs, of any tasks, after which a worker is avoided.
pub(crate) const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a worker is on probation after its pause, unless a task completes there first. Without this limit a gang
/// that needs every worker would wait forever once all single tasks are done.
const PROBATION: Duration = Duration::from_secs(10);
/// A run counts as stuck if its progress doesn't change for this long. The longest runs, of 16 s, progress by one
/// percent every 0.16 s, and reports come every 0.4 s; the timeout is extended when they come less often.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1200);
/// A run that is still listed this long after its start isn't suspected of crashing its worker at startup; such a
/// crash takes a tenth of this.
const STARTUP_WINDOW: Duration = Duration::from_millis(100);
/// A worker that hasn't answered for this long gets no new work: three renewals have failed. The timeout is extended
/// when renewals are less frequent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Address and port that accept orders.
    pub address: String,
    pub pool: String,
    /// Data centre.
    pub zone: String,
    /// Labels: the worker's type first, its rack last.
    pub labels: Vec<String>,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Whether it has announced that it will shut down.
    pub draining: bool,
    /// Whether its data centre is being evacuated: no new work is sent there until the evacuation is revoked.
    pub evacuated: bool,
}

impl WorkerInfo {
    /// Whether the platform's list lets it get new work.
    pub(crate) fn is_open(&self) -> bool {
        !self.draining && !self.evacuated
    }
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    pub task: Task,
    pub attempt: Attempt,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u8,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// It failed, because of the task or of the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang didn't arrive in time.
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

/// The end of a run, which a worker reports until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Sequence number, counting from 1 in each incarnation of the worker.
    pub number: u64,
    pub task: Task,
    pub attempt: Attempt,
    pub outcome: RunOutcome,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's answer to the renewal of its leases.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// [`crate::Engine::mark`] when the renewal was sent. Orders that were answered before must be reflected in the
    /// report.
    pub mark: u64,
    /// All running runs.
    pub running: Vec<Running>,
    /// Ends that aren't acknowledged yet, by sequence number.
    pub ended: Vec<End>,
    /// Whether there may be further unacknowledged ends, with higher numbers: workers list a limited number at once. A
    /// run that is in neither list may then have ended, with any outcome.
    pub truncated: bool,
}

impl Report {
    /// Number of ends in the report, and the highest end number.
    pub(crate) fn ends(&self) -> ReportedEnds {
        ReportedEnds { count: self.ended.len(), newest: self.ended.iter().map(|end| end.number).max().unwrap_or(0) }
    }

    /// All runs in the report, running or ended.
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
    /// The worker confirmed the start, at this mark.
    Running(u64),
    /// A stop was ordered; the answer to the start no longer matters.
    Stopping,
    /// The worker confirmed the stop, at this mark.
    Stopped(u64),
}

/// A run that is, or may be, on a worker. It takes room until it has certainly ended.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub phase: Phase,
    pub need: Resources,
    /// What it counts against its workspace's limit.
    pub charge: Option<Charge>,
    /// Priority of its queue, if the run may be preempted because it resumes from a checkpoint.
    pub preemptible: Option<u32>,
    pub percent: u8,
    /// When the reported progress last changed.
    pub progressed_at: Duration,
    /// When the start was decided, or when the run was first seen on the worker.
    pub decided_at: Duration,
    /// When the worker confirmed the start, or first listed the run.
    pub started_at: Option<Duration>,
    /// Whether the worker has listed it. A mere answer to its start may come from the worker's next incarnation.
    pub listed: bool,
    /// Whether the worker has listed it at least [`STARTUP_WINDOW`] after its start.
    pub seen_running: bool,
    /// Whether its task is suspected of crashing its workers; see [`crate::crashes`].
    pub suspect: bool,
}

/// Whether orders can be sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It hasn't answered in this term: an earlier leader may have started anything there.
    Unknown,
    /// It has answered in this term, so that it refuses orders of earlier leaders.
    Held,
    /// It hasn't answered for so long that its leases have expired. Nothing runs there.
    Lapsed,
}

/// Health of a worker, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Health {
    /// No known problem.
    Good,
    /// Its last run failed, or none of its runs progresses.
    Degraded,
    /// Several runs in a row have failed: it gets one task at a time until one is done.
    Probation,
    /// It gets no work for a while.
    Avoided,
}

/// By how much the renewal intervals exceed [`crate::RENEWAL_INTERVAL`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ExtraDelays {
    /// For workers without runs.
    pub idle: Duration,
    /// For workers with runs.
    pub busy: Duration,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub info: Arc<WorkerInfo>,
    pub contact: Contact,
    /// Whether a report in this term had a complete list of ends. Until then, runs that earlier leaders ordered may have
    /// ended there without being listed.
    pub has_complete_report: bool,
    /// Since when the platform's list lacks it; `None` while it is listed.
    pub unlisted_since: Option<Duration>,
    /// Position of the record that names the worker, which gets orders once this is durable.
    pub position: u64,
    /// When it last answered.
    pub last_heard: Duration,
    pub free: Resources,
    pub runs: BTreeMap<(Task, Attempt), Run>,
    /// Number of runs that it hasn't listed yet after their startup window.
    pub new_runs: u32,
    /// Number of these whose tasks are suspects.
    pub suspects: u32,
    /// Runs whose leases have expired or that an earlier leader placed, and whose fate no report has told yet. They count
    /// as lost if the worker turns out to have ended.
    pub possibly_lost: Vec<LostRun>,
    /// Since when it is known to follow an earlier incarnation of the same name; see [`crate::handover`].
    pub follows_since: Option<Duration>,
    /// Highest end number that was processed.
    pub taken: u64,
    /// Ends whose records aren't durable yet: end number, and position of the records.
    pub pending: VecDeque<(u64, u64)>,
    /// Highest end number that may be acknowledged.
    pub acked: u64,
    /// Runs that failed since the last one that completed its task.
    pub failures: u32,
    /// Starts without an answer since the last answered one.
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
            has_complete_report: false,
            unlisted_since,
            position,
            last_heard: now,
            runs: BTreeMap::new(),
            new_runs: 0,
            suspects: 0,
            possibly_lost: Vec::new(),
            follows_since: None,
            taken: 0,
            pending: VecDeque::new(),
            acked: 0,
            failures: 0,
            unanswered: 0,
            avoid_until: Duration::ZERO,
        }
    }

    /// Avoids the worker for a while, with exponential backoff.
    pub(crate) fn avoid(&mut self, now: Duration, times: u32) {
        let pause = FIRST_PAUSE * 2u32.pow(times.min(MAX_PAUSE_DOUBLINGS));
        self.avoid_until = self.avoid_until.max(now + pause);
    }

    pub(crate) fn health(&self, now: Duration, extra_delays: ExtraDelays) -> Health {
        if self.avoid_until > now {
            Health::Avoided
        } else if self.failures >= MAX_CONSECUTIVE_FAILURES && now < self.avoid_until + PROBATION {
            Health::Probation
        } else if self.failures > 0 || self.is_stuck(now, extra_delays.busy) {
            Health::Degraded
        } else {
            Health::Good
        }
    }

    /// Whether it has runs and none of them has progressed lately.
    fn is_stuck(&self, now: Duration, pause: Duration) -> bool {
        let still = NO_PROGRESS_TIMEOUT + pause;
        let moves =
            |run: &Run| !matches!(run.phase, Phase::Running(_)) || now.saturating_sub(run.progressed_at) < still;
        !self.runs.is_empty() && !self.runs.values().any(moves)
    }

    /// Whether it may hold a lease that was meant for an earlier incarnation, which ends at most `longest` after this one became
    /// known.
    pub(crate) fn may_hold_former_lease(&self, now: Duration, longest: Duration) -> bool {
        self.follows_since.is_some_and(|since| now.saturating_sub(since) <= longest)
    }

    /// Number of runs whose start isn't answered yet.
    pub(crate) fn starting(&self) -> usize {
        self.runs.values().filter(|run| run.phase == Phase::Starting).count()
    }

    /// Whether runs that earlier leaders ordered may have ended there, with any outcome, without being listed yet.
    pub(crate) fn may_have_unlisted_ends(&self) -> bool {
        self.contact == Contact::Held && !self.has_complete_report
    }

    /// Adds a run and takes its room.
    pub(crate) fn add_run(&mut self, task: Task, attempt: Attempt, run: Run) {
        self.free = self.free.saturating_sub(&run.need);
        self.new_runs += u32::from(!run.seen_running);
        self.suspects += u32::from(!run.seen_running && run.suspect);
        self.runs.insert((task, attempt), run);
    }

    /// Records that the worker lists a run, if it is known.
    pub(crate) fn mark_listed(&mut self, now: Duration, task: Task, attempt: Attempt) -> Option<&mut Run> {
        let run = self.runs.get_mut(&(task, attempt))?;
        run.listed = true;
        let started_at = *run.started_at.get_or_insert(now);
        if !run.seen_running && now.saturating_sub(started_at) >= STARTUP_WINDOW {
            run.seen_running = true;
            self.new_runs -= 1;
            self.suspects -= u32::from(run.suspect);
        }
        Some(run)
    }

    /// Whether it may get new work.
    ///
    /// Entries of the platform's list that expired during a store outage reappear a little later; a worker that
    /// answers meanwhile stays in use.
    pub(crate) fn usable(&self, now: Duration, durable: u64, extra_delays: ExtraDelays) -> bool {
        let listed = self.unlisted_since.is_none_or(|since| now.saturating_sub(since) < LIST_GRACE);
        let pause = if self.runs.is_empty() { extra_delays.idle } else { extra_delays.busy };
        let responsive = now.saturating_sub(self.last_heard) < SILENCE_TIMEOUT + pause;
        listed && responsive && self.contact == Contact::Held && self.info.is_open() && self.position <= durable
    }

    /// Removes a run. The room is recomputed, since adopted runs may have exceeded it.
    pub(crate) fn remove_run(&mut self, task: Task, attempt: Attempt) -> Option<Run> {
        let run = self.runs.remove(&(task, attempt))?;
        self.recount();
        Some(run)
    }

    /// Recomputes the free room and the number of new runs.
    pub(crate) fn recount(&mut self) {
        let new = || self.runs.values().filter(|run| !run.seen_running);
        self.new_runs = new().count() as u32;
        self.suspects = new().filter(|run| run.suspect).count() as u32;
        self.free = self.runs.values().fold(self.info.capacity, |free, run| free.saturating_sub(&run.need));
    }

    /// Whether its runs take more than it offers: its capacity may shrink while they run.
    pub(crate) fn is_overcommitted(&self) -> bool {
        let taken = self.runs.values().fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.need));
        !taken.fits_in(&self.info.capacity)
    }

    /// Raises the acknowledged end number to the last one whose records are durable.
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
