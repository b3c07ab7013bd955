//! The state of one leader: jobs, workers, and the records that aren't written to the log yet.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use work::{
    Attempt, Config, Job, JobId, Outcome, Queue, QueueName, Record, State, Task, Term, Unit, WorkerId, WorkspaceName,
};

use crate::advice::Shares;
use crate::advice_order::{HostTime, Hosts, Request};
use crate::assemble::Reclaimable;
use crate::entry::{Accepted, Ended, Entry, Phase, StartState, TaskState, UnitState};
use crate::jobs::Jobs;
use crate::latency::Latency;
use crate::limits::{AUTHORITY_TIMEOUT, Limits};
use crate::load::Served;
use crate::lost_runs::{EndedWorker, WorkerEndReason};
use crate::memory::job_memory;
use crate::pace::{self, Budget};
use crate::pass::{Part, Pass};
use crate::preempt::Preemption;
use crate::questions::Question;
use crate::quota::Quota;
use crate::rank::{Urgency, objective};
use crate::ranking::Ranking;
use crate::room::Room;
use crate::share::{self, Buckets};
use crate::stall::Idle;
use crate::worker::{Contact, ExtraDelays, Worker};

/// The time of an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// Monotonic time since the process started.
    pub now: Duration,
    /// Wall-clock time since 1970, for the due times of scheduled jobs, the ages of jobs that earlier leaders accepted,
    /// and the shares of workspaces.
    pub wall: Duration,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: Task,
    pub attempt: Attempt,
    /// The job, including the specification that is sent to the worker.
    pub job: Arc<Job>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// The advice service's permission, if its queue uses it.
    pub ticket: Option<String>,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run on a worker.
    Start(WorkerId, Start),
    /// Stop a run on a worker. Repeated until it is answered or the worker's leases have expired.
    Stop(WorkerId, Task, Attempt),
    /// Ask the advice service which workers may run a unit.
    Ask(Question),
    /// An incarnation of a worker has ended; nothing more is sent to it.
    Forget(WorkerId),
}

/// The queue and workspace that a job belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    pub queue: QueueName,
    /// `None` if the queue is public.
    pub workspace: Option<WorkspaceName>,
}

impl Owner {
    /// The owner of a job in a public queue, which needs no API key.
    pub fn public(queue: &str) -> Owner {
        Owner { queue: queue.to_owned(), workspace: None }
    }
}

/// A summary of an ended job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    pub queue: QueueName,
    /// Time from acceptance to end.
    pub took: Duration,
    /// Target for that time, derived from the caller's estimates.
    pub objective: Duration,
}

/// Upper bound on lease renewals per second for all idle workers together. It keeps them a small part of the leader's
/// CPU time.
const IDLE_RENEWALS_PER_SECOND: f64 = 500.0;
/// Upper bound on lease renewals per second for all busy workers together, not counting renewals that are sent
/// because a run ended.
const BUSY_RENEWALS_PER_SECOND: f64 = 500.0;
/// Longest interval between two renewals of a busy worker. A lease of 7 s then survives a network partition of 5 s,
/// and no worker delays its answer for longer than this.
const MAX_BUSY_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two renewals of a busy worker on small fleets: a lease of 6 s must survive a network partition of
/// 5.5 s. The timeouts for silent and stuck workers are based on it.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);
/// Attempt numbers reserved for each task in one term, so that the numbers of a term are above those of all earlier
/// terms.
const ATTEMPTS_PER_TERM: u64 = 1000;

/// The scheduler's state and decisions during one term of a leader.
pub struct Engine {
    pub(crate) limits: Limits,
    pub(crate) term: Term,
    /// Start of this term, in monotonic time.
    pub(crate) term_start: Duration,
    /// How long after the start of this term earlier leaders may still have granted leases.
    pub(crate) predecessor_active: Duration,
    /// How long after the start of this term all leases that earlier leaders granted have ended; `None` if that follows only
    /// from how long they may be active.
    pub(crate) predecessor_leases: Option<Duration>,
    pub(crate) config: Arc<Config>,
    /// Whether the configuration changed since the last pass. A job may have used up its attempts before its queue's
    /// limit was known.
    pub(crate) reconfigured: bool,
    /// Queues of the configuration, by name.
    pub(crate) queues: HashMap<QueueName, Arc<Queue>>,
    /// The lowest priority number among the queues of each pool.
    pub(crate) most_urgent: HashMap<String, u32>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// Workers that are known to have ended.
    pub(crate) departed: BTreeSet<WorkerId>,
    /// Those of `departed` that were replaced at their address while the platform's list still shows them.
    pub(crate) superseded: BTreeSet<WorkerId>,
    pub(crate) jobs: Jobs,
    /// Jobs that haven't ended.
    pub(crate) live: BTreeSet<JobId>,
    /// Whether everything that earlier leaders started is known or has certainly ended, except on workers with
    /// [`Worker::follows_since`].
    pub(crate) settled: bool,
    /// Time of the current pass, or of the last one.
    pub(crate) pass_time: Duration,
    pub(crate) shares: Shares,
    /// Time from the decision to start a run to the worker's answer.
    pub(crate) start_latency: Latency,
    /// Hosts that can ask the advice service; `None` until they are known, which means no limit.
    pub(crate) askers: Option<Hosts>,
    /// Recent time of the hosts on questions.
    pub(crate) host_time: HostTime,
    /// Units that want to ask a question.
    pub(crate) requests: HashMap<Unit, Request>,
    /// Units that may have unanswered questions.
    pub(crate) open_questions: BTreeSet<Unit>,
    /// What the budgets have served in this term.
    pub(crate) served: Served,
    /// Room that preemption could free for gangs, by priority of the gang's queue.
    pub(crate) reclaimable: HashMap<u32, Reclaimable>,
    /// Limits and usage of workspaces.
    pub(crate) quota: Quota,
    /// Shares of workspaces.
    pub(crate) buckets: Buckets,
    /// Free room as of the last pass, which the next pass updates.
    pub(crate) room: Room,
    /// Waiting units as of the last pass, which the next pass updates.
    pub(crate) ranking: Ranking,
    pub(crate) last_pass: Pass,
    /// What the next pass may do, less what it has done.
    pub(crate) budget: Budget,
    /// Urgency of the first unit that the budget kept from starting in this pass.
    pub(crate) held_back: Option<Urgency>,
    /// Called at the end of each part of a pass.
    pub(crate) probe: fn(Part),
    pub(crate) actions: Vec<Action>,
    /// Preemptions that aren't logged yet.
    pub(crate) preemptions: Vec<Preemption>,
    /// Jobs without a listed run; see [`crate::stall`].
    pub(crate) idle_since: BTreeMap<JobId, Idle>,
    /// Ended workers that aren't logged yet.
    pub(crate) ended_workers: Vec<EndedWorker>,
    /// Starts whose records aren't durable yet, by position.
    pub(crate) unsent_starts: VecDeque<(u64, WorkerId, Start)>,
    /// Records that weren't handed to the log yet, by position.
    pub(crate) records: VecDeque<(u64, Record)>,
    /// Their memory, in bytes.
    pub(crate) records_memory: usize,
    /// Position of the newest record. Positions count from 1 in each term.
    pub(crate) position: u64,
    /// Highest position that is durable in the store.
    pub(crate) durable: u64,
    /// Number of orders that were answered so far; see [`Engine::mark`].
    mark: u64,
}

impl Engine {
    /// Creates an engine without jobs and workers.
    pub fn new(limits: Limits, term: Term, config: Arc<Config>, now: Duration) -> Engine {
        let mut quota = Quota::default();
        quota.configure(&config);
        let mut buckets = Buckets::default();
        buckets.configure(&config, &mut quota);
        Engine {
            limits,
            term,
            term_start: now,
            predecessor_active: AUTHORITY_TIMEOUT,
            predecessor_leases: None,
            reconfigured: false,
            queues: by_name(&config),
            most_urgent: most_urgent(&config),
            config,
            workers: BTreeMap::new(),
            departed: BTreeSet::new(),
            superseded: BTreeSet::new(),
            jobs: Jobs::default(),
            live: BTreeSet::new(),
            settled: false,
            pass_time: now,
            shares: Shares::default(),
            start_latency: Latency::default(),
            askers: None,
            host_time: HostTime::default(),
            requests: HashMap::new(),
            open_questions: BTreeSet::new(),
            served: Served::default(),
            reclaimable: HashMap::new(),
            quota,
            buckets,
            room: Room::default(),
            ranking: Ranking::default(),
            last_pass: Pass::default(),
            budget: pace::UNLIMITED,
            held_back: None,
            probe: |_| {},
            actions: Vec::new(),
            preemptions: Vec::new(),
            idle_since: BTreeMap::new(),
            ended_workers: Vec::new(),
            unsent_starts: VecDeque::new(),
            records: VecDeque::new(),
            records_memory: 0,
            position: 0,
            durable: 0,
            mark: 0,
        }
    }

    /// Applies a configuration, if it is newer than the current one.
    pub fn configure(&mut self, config: Arc<Config>) {
        if config.version > self.config.version {
            self.queues = by_name(&config);
            self.most_urgent = most_urgent(&config);
            self.quota.configure(&config);
            self.buckets.configure(&config, &mut self.quota);
            self.config = config;
            self.reconfigured = true;
            self.jobs.mark_changed(self.live.iter());
        }
    }

    /// Interval between renewals of an idle worker. It has no lease to prolong, and the renewals of all idle workers
    /// together must not use up the leader's CPU time.
    pub fn idle_renewal_interval(&self) -> Duration {
        Duration::from_secs_f64(self.workers.len() as f64 / IDLE_RENEWALS_PER_SECOND)
    }

    /// Interval between renewals of a busy worker, at least [`RENEWAL_INTERVAL`].
    pub fn busy_renewal_interval(&self) -> Duration {
        let busy = self.workers.values().filter(|worker| !worker.runs.is_empty()).count();
        Duration::from_secs_f64(busy as f64 / BUSY_RENEWALS_PER_SECOND)
            .clamp(RENEWAL_INTERVAL, MAX_BUSY_RENEWAL_INTERVAL)
    }

    /// By how much the renewal intervals exceed those that the timeouts for silent and stuck workers are based on.
    pub(crate) fn extra_delays(&self) -> ExtraDelays {
        ExtraDelays { idle: self.idle_renewal_interval(), busy: self.busy_renewal_interval() - RENEWAL_INTERVAL }
    }

    /// Whether a worker has no known runs.
    pub fn is_worker_idle(&self, worker: &str) -> bool {
        self.workers.get(worker).is_none_or(|worker| worker.runs.is_empty())
    }

    /// Ids and addresses of the workers whose leases are to be renewed.
    pub fn addresses(&self) -> Vec<(WorkerId, String)> {
        self.workers.iter().map(|(id, worker)| (id.clone(), worker.info.address.clone())).collect()
    }

    /// The highest end number of a worker that may be acknowledged.
    pub fn acked(&self, worker: &str) -> u64 {
        self.workers.get(worker).map_or(0, |worker| worker.acked)
    }

    /// The highest end number of a worker that was processed, acknowledged or not.
    pub fn last_processed_end(&self, worker: &str) -> u64 {
        self.workers.get(worker).map_or(0, |worker| worker.taken)
    }

    /// The number of answered orders. A report shows the effect of every order that was answered at or before the
    /// mark at which its renewal was sent.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Counts an order as answered.
    pub(crate) fn next_mark(&mut self) -> u64 {
        self.mark += 1;
        self.mark
    }

    /// Accepts a job, which is in effect once the returned position is durable. A job with a known id is left
    /// unchanged.
    pub fn accept(&mut self, clock: Clock, id: JobId, owner: Owner, job: Job) -> u64 {
        if self.jobs.contains_key(&id) {
            return self.accepted_position(id);
        }
        let Owner { queue, workspace } = owner.clone();
        let record = Record::Accepted { id, queue, workspace, at: clock.wall, job: job.clone() };
        let position = self.record(record);
        let accepted = Accepted { now: clock.now, wall: clock.wall, position };
        self.insert(id, owner, Arc::new(job), accepted);
        self.classify_accepted(id);
        position
    }

    /// Adds a job without writing a record and without deciding its class.
    pub(crate) fn insert(&mut self, id: JobId, owner: Owner, job: Arc<Job>, accepted: Accepted) {
        let workspace = owner.workspace.map(|name| self.quota.index(&name));
        let queue = owner.queue;
        let memory = job_memory(&job);
        let (started, outcome, class) = (StartState::No, None, share::Class::Within);
        let entry = Entry {
            queue,
            workspace,
            job,
            accepted,
            class,
            started,
            outcome,
            units: BTreeMap::new(),
            opened: 0,
            changed: false,
            memory,
        };
        self.jobs.insert(id, entry);
        self.live.insert(id);
    }

    fn accepted_position(&self, id: JobId) -> u64 {
        self.jobs.get(&id).map_or(0, |entry| entry.accepted.position)
    }

    /// Target for the time from acceptance to end of a job in a queue, derived from the caller's estimates.
    pub fn objective(&self, queue: &str, job: &Job) -> Duration {
        self.queues.get(queue).map_or(Duration::ZERO, |queue| objective(job, queue))
    }

    /// The state of a job; `None` for an unknown one.
    pub fn state(&self, id: JobId) -> Option<State> {
        let entry = self.jobs.get(&id)?;
        match entry.outcome {
            Some(ended) if ended.position <= self.durable => Some(State::Ended(ended.outcome)),
            _ if entry.started != StartState::No => Some(State::Running),
            _ => Some(State::Queued),
        }
    }

    /// Number of accepted jobs of a queue that have no schedule and none of whose tasks has started.
    pub fn waiting(&self, queue: &str) -> usize {
        let waits = |entry: &&Entry| entry.queue == queue && self.is_waiting(entry) && entry.job.schedule.is_none();
        self.live.iter().filter_map(|id| self.jobs.get(id)).filter(waits).count()
    }

    /// Whether none of a job's tasks is known to have started. A task that an earlier leader placed may never have
    /// been sent to its worker.
    pub(crate) fn is_waiting(&self, entry: &Entry) -> bool {
        match entry.started {
            StartState::No => true,
            StartState::Placed => entry.units.values().all(|unit| self.resolved(unit)),
            StartState::Yes => false,
        }
    }

    /// Takes the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Ends a job. The end is in effect once the returned position is durable.
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

    /// Like [`Self::unit_mut`], for changes that the pass under way notes in the ranking itself.
    pub(crate) fn unit_mut_unmarked(&mut self, unit: Unit) -> Option<&mut UnitState> {
        self.jobs.get_mut_unmarked(&unit.job)?.units.get_mut(&(unit.round, unit.step))
    }

    pub(crate) fn task_mut(&mut self, task: Task) -> Option<&mut TaskState> {
        self.unit_mut(task.unit)?.tasks.get_mut(task.index as usize)
    }

    pub(crate) fn unit(&self, unit: Unit) -> Option<&UnitState> {
        self.jobs.get(&unit.job)?.units.get(&(unit.round, unit.step))
    }

    /// The next attempt number, given the number of starts of a task or of a gang in this term.
    pub(crate) fn attempt(&self, starts: u64) -> Attempt {
        (self.term - 1) * ATTEMPTS_PER_TERM + starts + 1
    }

    /// Processes that all leases of a worker have certainly expired.
    pub fn leases_expired(&mut self, clock: Clock, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.contact = Contact::Lapsed;
        if worker.unlisted_since.is_some() {
            return self.end_worker(clock, id, WorkerEndReason::Unlisted);
        }
        // The worker may turn out to have ended; these runs then count as lost.
        let last_heard = worker.last_heard;
        let lost = self.losses(id, last_heard);
        self.add_silent(&lost);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.possibly_lost.extend(lost);
        }
        self.free_all_runs(clock, id);
    }

    /// Returns the tasks of all runs on a worker to the queue.
    pub(crate) fn free_all_runs(&mut self, clock: Clock, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let runs = std::mem::take(&mut worker.runs);
        worker.recount();
        for (task, attempt) in runs.into_keys() {
            self.free_task(clock, task, id, attempt);
        }
    }

    /// Returns a task to the queue after a run ended without completing it, unless another run has taken over the
    /// task.
    pub(crate) fn free_task(&mut self, _clock: Clock, task: Task, worker: &str, attempt: Attempt) {
        let Some(unit) = self.unit_mut(task.unit) else { return };
        let index = task.index as usize;
        let held = unit.tasks.get(index).is_some_and(|state| state.phase == Phase::Held(worker.to_owned(), attempt));
        if held {
            unit.set_phase(index, Phase::Pending);
        }
    }

    /// A summary of a job that has ended.
    pub fn summary(&self, id: JobId) -> Option<Summary> {
        let entry = self.jobs.get(&id)?;
        let ended = entry.outcome?;
        Some(Summary {
            queue: entry.queue.clone(),
            took: ended.at.saturating_sub(entry.accepted.now),
            objective: self.queues.get(&entry.queue).map_or(Duration::ZERO, |queue| objective(&entry.job, queue)),
        })
    }

    /// Numbers of unfinished jobs, and of workers that this leader is in contact with.
    pub fn sizes(&self) -> (usize, usize) {
        let held = self.workers.values().filter(|worker| worker.contact == Contact::Held).count();
        (self.live.len(), held)
    }

    /// The workspace of a known job; `None` if its queue was public.
    pub fn workspace(&self, id: JobId) -> Option<&WorkspaceName> {
        self.quota.name(self.jobs.get(&id)?.workspace?)
    }

    /// Whether a job is known.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }
}

/// The lowest priority number, which is the most urgent one, of the queues of each pool.
fn most_urgent(config: &Config) -> HashMap<String, u32> {
    let mut found: HashMap<String, u32> = HashMap::new();
    for queue in &config.queues {
        let least = found.entry(queue.pool.clone()).or_insert(queue.priority);
        *least = queue.priority.min(*least);
    }
    found
}

fn by_name(config: &Config) -> HashMap<QueueName, Arc<Queue>> {
    config.queues.iter().map(|queue| (queue.name.clone(), Arc::new(queue.clone()))).collect()
}
