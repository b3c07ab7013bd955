//! The book of one leader: jobs, workers, and what is owed to the log.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use work::{
    Attempt, Config, Job, JobId, Outcome, Queue, QueueName, Record, State, Task, Term, Unit, WorkerId, WorkspaceName,
};

use crate::advice::Shares;
use crate::assemble::Reclaimable;
use crate::entry::{Accepted, Begun, Ended, Entry, Phase, TaskState, UnitState};
use crate::latency::Latency;
use crate::limits::{AUTHORITY_TIMEOUT, Limits};
use crate::lost_runs::{EndedWorker, WorkerEndReason};
use crate::preempt::Preemption;
use crate::questions::Question;
use crate::quota::Quota;
use crate::rank::objective;
use crate::room::Room;
use crate::stall::Idle;
use crate::worker::{Contact, Pauses, Worker};

/// The time of an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Steady time since the process started.
    pub now: Duration,
    /// Time of day, since 1970. Only due times are compared with it.
    pub wall: Duration,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run.
    pub attempt: Attempt,
    /// The job, with the text for the worker.
    pub job: Arc<Job>,
    /// Checkpoint to go on from; empty for none.
    pub saved: String,
    /// Permission of the adviser, where the queue has one.
    pub ticket: Option<String>,
}

/// What is to be done outside.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run on a worker.
    Start(WorkerId, Start),
    /// Stop a run on a worker; repeated until it is answered or the worker lapses.
    Stop(WorkerId, Task, Attempt),
    /// Ask the adviser who may run a unit.
    Ask(Question),
    /// A worker's life is over; nothing more is to be sent to it.
    Forget(WorkerId),
}

/// Where a job belongs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    /// Its queue.
    pub queue: QueueName,
    /// Whose it is; none where the queue was public.
    pub workspace: Option<WorkspaceName>,
}

impl Owner {
    /// That of a job in a queue that needs no key.
    pub fn public(queue: &str) -> Owner {
        Owner { queue: queue.to_owned(), workspace: None }
    }
}

/// A job that has ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Its queue.
    pub queue: QueueName,
    /// From its acceptance to its end.
    pub took: Duration,
    /// How long it should take at most, by its caller's estimates.
    pub objective: Duration,
}

/// Renewals of idle workers in a second, all together: a small part of a leader's processor.
const IDLE_RENEWALS_PER_SECOND: f64 = 500.0;
/// Renewals of busy workers in a second, all together, besides those that an end brings about.
const BUSY_RENEWALS_PER_SECOND: f64 = 500.0;
/// Longest time between two renewals of a busy worker: a lease of 7 s then outlasts a cut of 5 s, and no worker keeps an answer
/// waiting for longer.
const MAX_BUSY_PAUSE: Duration = Duration::from_secs(2);
/// Time between two renewals of a busy worker on small fleets: a cut of 5.5 s must leave a lease of 6 s alive. The bounds of silence
/// and standstill reckon with it.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Attempts of one task in one reign; a term's attempts are all above those of the terms before.
const ATTEMPTS_PER_TERM: u64 = 1000;

/// The leader's book and decisions.
pub struct Engine {
    pub(crate) limits: Limits,
    pub(crate) term: Term,
    /// When this reign began, on the steady clock.
    pub(crate) term_start: Duration,
    /// How long after the reign began the leader before may still have given leases.
    pub(crate) predecessor_active: Duration,
    pub(crate) config: Arc<Config>,
    /// Whether it came since the last pass: attempts may have been used up before it was known.
    pub(crate) reconfigured: bool,
    /// Its queues by name.
    pub(crate) queues: HashMap<QueueName, Arc<Queue>>,
    /// The lowest number among the priorities of each pool's queues.
    pub(crate) most_urgent: HashMap<String, u32>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Workers that are known to be gone.
    pub(crate) departed: BTreeSet<WorkerId>,
    /// Of these, those at whose address another life has answered, while the list still shows them.
    pub(crate) superseded: BTreeSet<WorkerId>,
    pub(crate) jobs: HashMap<JobId, Entry>,
    /// Jobs that haven't ended.
    pub(crate) live: BTreeSet<JobId>,
    /// Whether everything that earlier leaders started is known or has surely ended.
    pub(crate) settled: bool,
    pub(crate) shares: Shares,
    /// How long starts take from their decision to the worker's answer.
    pub(crate) start_latency: Latency,
    /// Hosts that are free to ask the adviser a long question.
    pub(crate) askers: usize,
    /// Room that could be made for gangs, by their priority.
    pub(crate) reclaimable: HashMap<u32, Reclaimable>,
    /// Limits of workspaces, and what is used of them.
    pub(crate) quota: Quota,
    /// The room of the last pass, which the next one brings up to date.
    pub(crate) room: Room,
    pub(crate) actions: Vec<Action>,
    /// Room that was made and isn't logged yet.
    pub(crate) preemptions: Vec<Preemption>,
    /// Jobs of which nothing runs; see [`crate::stall`].
    pub(crate) idle_since: BTreeMap<JobId, Idle>,
    /// Workers whose end isn't logged yet.
    pub(crate) ended_workers: Vec<EndedWorker>,
    /// Starts whose records aren't durable yet, by position.
    pub(crate) unsent_starts: VecDeque<(u64, WorkerId, Start)>,
    /// Records that the log hasn't taken yet, by position.
    pub(crate) records: VecDeque<(u64, Record)>,
    /// Position of the newest record; positions count from 1 in each reign.
    pub(crate) position: u64,
    /// Highest position that is in the store.
    pub(crate) durable: u64,
    /// Settled orders so far; see [`Engine::mark`].
    mark: u64,
}

impl Engine {
    /// Starts an empty book.
    pub fn new(limits: Limits, term: Term, config: Arc<Config>, now: Duration) -> Engine {
        let mut quota = Quota::default();
        quota.configure(&config);
        Engine {
            limits,
            term,
            term_start: now,
            predecessor_active: AUTHORITY_TIMEOUT,
            reconfigured: false,
            queues: by_name(&config),
            most_urgent: most_urgent(&config),
            config,
            workers: BTreeMap::new(),
            departed: BTreeSet::new(),
            superseded: BTreeSet::new(),
            jobs: HashMap::new(),
            live: BTreeSet::new(),
            settled: false,
            shares: Shares::default(),
            start_latency: Latency::default(),
            askers: 1,
            reclaimable: HashMap::new(),
            quota,
            room: Room::default(),
            actions: Vec::new(),
            preemptions: Vec::new(),
            idle_since: BTreeMap::new(),
            ended_workers: Vec::new(),
            unsent_starts: VecDeque::new(),
            records: VecDeque::new(),
            position: 0,
            durable: 0,
            mark: 0,
        }
    }

    /// Nothing is known of the leader before: it may be of a version that gives longer leases.
    pub fn predecessor_unknown(&mut self) {
        self.predecessor_active = AUTHORITY_TIMEOUT + self.limits.longer_before();
    }

    /// The leader before gives no leases any more, as is known since `now`.
    pub fn predecessor_ended(&mut self, now: Duration) {
        self.predecessor_active = self.predecessor_active.min(now.saturating_sub(self.term_start));
    }

    /// Takes a newer configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        if config.version > self.config.version {
            self.queues = by_name(&config);
            self.most_urgent = most_urgent(&config);
            self.quota.configure(&config);
            self.config = config;
            self.reconfigured = true;
        }
    }

    /// How long the renewals of a worker on which nothing runs may be apart: there is no lease to prolong, and all of them
    /// together must not take the leader's time.
    pub fn idle_pause(&self) -> Duration {
        Duration::from_secs_f64(self.workers.len() as f64 / IDLE_RENEWALS_PER_SECOND)
    }

    /// How long the renewals of a worker on which something runs may be apart, at least as long as usual.
    pub fn busy_pause(&self) -> Duration {
        let busy = self.workers.values().filter(|worker| !worker.runs.is_empty()).count();
        Duration::from_secs_f64(busy as f64 / BUSY_RENEWALS_PER_SECOND).clamp(RENEWAL_INTERVAL, MAX_BUSY_PAUSE)
    }

    /// How far apart renewals are, beyond what the bounds of silence and standstill reckon with.
    pub(crate) fn pauses(&self) -> Pauses {
        Pauses { idle: self.idle_pause(), busy: self.busy_pause() - RENEWAL_INTERVAL }
    }

    /// Whether nothing runs on a worker, as far as is known.
    pub fn is_worker_idle(&self, worker: &str) -> bool {
        self.workers.get(worker).is_none_or(|worker| worker.runs.is_empty())
    }

    /// Workers to renew: id and address.
    pub fn addresses(&self) -> Vec<(WorkerId, String)> {
        self.workers.iter().map(|(id, worker)| (id.clone(), worker.info.address.clone())).collect()
    }

    /// The highest end of a worker that may be acknowledged.
    pub fn acked(&self, worker: &str) -> u64 {
        self.workers.get(worker).map_or(0, |worker| worker.acked)
    }

    /// The highest end of a worker that was taken in, acknowledged or not.
    pub fn taken(&self, worker: &str) -> u64 {
        self.workers.get(worker).map_or(0, |worker| worker.taken)
    }

    /// Counts settled orders: a report whose renewal was sent at this mark shows what was settled before.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Counts an order as settled.
    pub(crate) fn next_mark(&mut self) -> u64 {
        self.mark += 1;
        self.mark
    }

    /// Accepts a job; it counts once the returned position is durable. A known id stays the job that it is.
    pub fn accept(&mut self, clock: Clock, id: JobId, owner: Owner, job: Job) -> u64 {
        if self.jobs.contains_key(&id) {
            return self.accepted_position(id);
        }
        let Owner { queue, workspace } = owner.clone();
        let record = Record::Accepted { id, queue, workspace, at: clock.wall, job: job.clone() };
        let position = self.record(record);
        let accepted = Accepted { now: clock.now, wall: clock.wall, position };
        self.insert(id, owner, Arc::new(job), accepted);
        position
    }

    /// Puts a job into the book, without a record.
    pub(crate) fn insert(&mut self, id: JobId, owner: Owner, job: Arc<Job>, accepted: Accepted) {
        let units = BTreeMap::new();
        let workspace = owner.workspace.map(|name| self.quota.index(&name));
        let queue = owner.queue;
        let entry = Entry { queue, workspace, job, accepted, begun: Begun::No, outcome: None, units, opened: 0 };
        self.jobs.insert(id, entry);
        self.live.insert(id);
    }

    fn accepted_position(&self, id: JobId) -> u64 {
        self.jobs.get(&id).map_or(0, |entry| entry.accepted.position)
    }

    /// How long a job of a queue should take at most, by its caller's estimates.
    pub fn objective(&self, queue: &str, job: &Job) -> Duration {
        self.queues.get(queue).map_or(Duration::ZERO, |queue| objective(job, queue))
    }

    /// The state of a job, when it is known.
    pub fn state(&self, id: JobId) -> Option<State> {
        let entry = self.jobs.get(&id)?;
        match entry.outcome {
            Some(ended) if ended.position <= self.durable => Some(State::Ended(ended.outcome)),
            _ if entry.begun != Begun::No => Some(State::Running),
            _ => Some(State::Queued),
        }
    }

    /// Accepted jobs of a queue none of whose tasks has begun.
    pub fn waiting(&self, queue: &str) -> usize {
        let waits = |entry: &&Entry| entry.queue == queue && self.waits(entry) && entry.job.schedule.is_none();
        self.live.iter().filter_map(|id| self.jobs.get(id)).filter(waits).count()
    }

    /// Whether none of a job's tasks has begun, as far as is known. One that an earlier leader placed may never have been started.
    pub(crate) fn waits(&self, entry: &Entry) -> bool {
        match entry.begun {
            Begun::No => true,
            Begun::Placed => entry.units.values().all(|unit| self.resolved(unit)),
            Begun::Yes => false,
        }
    }

    /// Takes the orders and questions that have come up.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Ends a job. Returns the position whose durability makes the end count.
    pub(crate) fn end(&mut self, clock: Clock, id: JobId, outcome: Outcome) -> u64 {
        let workspace = self.workspace(id).cloned();
        let position = self.record(Record::Ended { id, outcome, workspace });
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.outcome = Some(Ended { outcome, position, at: clock.now });
            entry.release_memory();
        }
        self.live.remove(&id);
        position
    }

    pub(crate) fn unit_mut(&mut self, unit: Unit) -> Option<&mut UnitState> {
        self.jobs.get_mut(&unit.job)?.units.get_mut(&(unit.round, unit.step))
    }

    pub(crate) fn task_mut(&mut self, task: Task) -> Option<&mut TaskState> {
        self.unit_mut(task.unit)?.tasks.get_mut(task.index as usize)
    }

    pub(crate) fn unit(&self, unit: Unit) -> Option<&UnitState> {
        self.jobs.get(&unit.job)?.units.get(&(unit.round, unit.step))
    }

    /// The next attempt number of a task or, with `starts` of its gang, of a gang.
    pub(crate) fn attempt(&self, starts: u64) -> Attempt {
        (self.term - 1) * ATTEMPTS_PER_TERM + starts + 1
    }

    /// A worker's leases have surely run out.
    pub fn leases_expired(&mut self, clock: Clock, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.contact = Contact::Lapsed;
        if worker.unlisted_since.is_some() {
            return self.end_worker(clock, id, WorkerEndReason::Unlisted);
        }
        // It may turn out to have ended then.
        let last_heard = worker.last_heard;
        let lost = self.losses(id, last_heard);
        self.add_silent(&lost);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.possibly_lost.extend(lost);
        }
        self.free_all_runs(clock, id);
    }

    /// Frees the tasks of all runs on a worker.
    pub(crate) fn free_all_runs(&mut self, clock: Clock, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let runs = std::mem::take(&mut worker.runs);
        worker.recount();
        for (task, attempt) in runs.into_keys() {
            self.free_task(clock, task, id, attempt);
        }
    }

    /// A run has ended without its task being done: the task waits again, if this was its run.
    pub(crate) fn free_task(&mut self, _clock: Clock, task: Task, worker: &str, attempt: Attempt) {
        let Some(unit) = self.unit_mut(task.unit) else { return };
        let index = task.index as usize;
        let held = unit.tasks.get(index).is_some_and(|state| state.phase == Phase::Held(worker.to_owned(), attempt));
        if held {
            unit.set_phase(index, Phase::Pending);
        }
    }

    /// Forgets ended jobs whose state need not be told any more.
    pub fn forget_ended_jobs(&mut self, now: Duration) {
        let keep = self.limits.keep_ended;
        self.jobs.retain(|_, entry| entry.outcome.is_none_or(|ended| now.saturating_sub(ended.at) < keep));
    }

    /// What is to be said of a job that has ended.
    pub fn summary(&self, id: JobId) -> Option<Summary> {
        let entry = self.jobs.get(&id)?;
        let ended = entry.outcome?;
        Some(Summary {
            queue: entry.queue.clone(),
            took: ended.at.saturating_sub(entry.accepted.now),
            objective: self.queues.get(&entry.queue).map_or(Duration::ZERO, |queue| objective(&entry.job, queue)),
        })
    }

    /// Numbers of jobs that haven't ended, and of workers that are held.
    pub fn sizes(&self) -> (usize, usize) {
        let held = self.workers.values().filter(|worker| worker.contact == Contact::Held).count();
        (self.live.len(), held)
    }

    /// The workspace of a job that is kept; none where its queue was public.
    pub fn workspace(&self, id: JobId) -> Option<&WorkspaceName> {
        self.quota.name(self.jobs.get(&id)?.workspace?)
    }

    /// Whether a job is still kept.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }
}

/// The priority of the most urgent queue of each pool.
fn most_urgent(config: &Config) -> HashMap<String, u32> {
    let mut found: HashMap<String, u32> = HashMap::new();
    for queue in &config.queues {
        let least = found.entry(queue.pool.clone()).or_insert(queue.priority);
        *least = queue.priority.min(*least);
    }
    found
}

/// The queues of a configuration by their names.
fn by_name(config: &Config) -> HashMap<QueueName, Arc<Queue>> {
    config.queues.iter().map(|queue| (queue.name.clone(), Arc::new(queue.clone()))).collect()
}
