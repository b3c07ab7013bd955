//! All shares of one partition under one claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::task::{Attempt, End, Id};
use model::workload::{Kind, Progress, Versioned};
use model::{DataCentreId, Epoch, Reason, Revision, WorkerId, WorkloadId};
use wire::{StartOrder, StopOrder, TaskFact, TaskState};

use crate::failures::RetryState;
use crate::job::Job;
use crate::task::{Phase, Task};

/// An order whose answer was lost is sent again after so long.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Work that waits and may start now.
#[derive(Clone, Debug)]
pub struct PendingJob {
    /// Its workload.
    pub workload: WorkloadId,
    /// Positions to start; for a gang all or none.
    pub positions: Vec<u32>,
    /// Since when the longest-waiting one waits.
    pub since: Instant,
}

/// Something worth a log line or a metric.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEvent {
    /// A task began to run after this wait.
    Started(Id, Duration),
    /// An attempt ended.
    Ended(Id, Attempt, End),
    /// A workload was parked.
    Parked(WorkloadId, Reason),
}

/// The shares of one partition, as its owner follows them.
#[derive(Debug)]
pub struct JobTracker {
    epoch: Epoch,
    data_centre: DataCentreId,
    jobs: BTreeMap<WorkloadId, Job>,
    last_attempt_number: u32,
    /// Whether every worker that an earlier owner may have used is accounted for.
    recovered: bool,
    acknowledgements: Vec<StopOrder>,
    orphans: BTreeMap<(Id, Attempt), StopOrder>,
    /// Ends that wait until the platform has them.
    unpersisted_ends: BTreeMap<WorkloadId, Vec<StopOrder>>,
    events: Vec<JobEvent>,
    worker_count: usize,
}

impl JobTracker {
    /// Opens the tracker of a partition that was just claimed with `epoch`.
    pub fn new(epoch: Epoch, data_centre: DataCentreId) -> JobTracker {
        JobTracker {
            epoch,
            data_centre,
            jobs: BTreeMap::new(),
            last_attempt_number: 0,
            recovered: false,
            acknowledgements: Vec::new(),
            orphans: BTreeMap::new(),
            unpersisted_ends: BTreeMap::new(),
            events: Vec::new(),
            worker_count: 0,
        }
    }

    /// Epoch of the claim.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The shares, by name.
    pub fn jobs(&self) -> &BTreeMap<WorkloadId, Job> {
        &self.jobs
    }

    /// States how many workers the data centre has.
    pub fn set_worker_count(&mut self, count: usize) {
        self.worker_count = count;
    }

    /// Follows a record. `fresh` states that no earlier owner can have started its tasks: it was accepted
    /// after this claim.
    pub fn apply(&mut self, versioned: Versioned, progress: Option<&Progress>, fresh: bool, now: Instant) {
        let name = versioned.record.workload.name.clone();
        let known = self.jobs.get(&name).map(|job| (job.versioned.revision, job.versioned.record.life));
        if known.is_some_and(|(revision, _)| revision >= versioned.revision) {
            return;
        }
        let same_life = known.is_some_and(|(_, life)| life == versioned.record.life);
        if !same_life {
            self.remove_workload(&name);
            let mut job = Job::new(versioned, self.data_centre.clone());
            if let Some(progress) = progress {
                job.restore(progress, now);
            }
            self.jobs.insert(name.clone(), job);
        } else if let Some(job) = self.jobs.get_mut(&name) {
            job.versioned = versioned;
            // An operator's change is a new chance for a workload that failed.
            job.failures.record_success();
        }
        let phase = if fresh || self.recovered { Phase::Waiting } else { Phase::Unknown };
        if let Some(job) = self.jobs.get_mut(&name) {
            job.resize(phase, now);
        }
    }

    /// Forgets a workload whose record was removed; attempts that still live are stopped as orphans.
    pub fn remove_workload(&mut self, workload: &str) {
        let Some(job) = self.jobs.remove(workload) else { return };
        self.unpersisted_ends.remove(workload);
        for (index, task) in &job.tasks {
            let Some(worker) = task.worker() else { continue };
            let order = StopOrder { worker: worker.clone(), task: job.id(*index), attempt: task.attempt };
            self.orphans.insert((order.task.clone(), order.attempt), order);
        }
    }

    /// Takes in what the holder of a worker says of an attempt.
    pub fn observe(&mut self, task: &Id, attempt: Attempt, fact: &TaskFact, on_probation: bool, now: Instant) {
        let order = StopOrder { worker: fact.worker.clone(), task: task.clone(), attempt };
        let known = self.jobs.get_mut(&task.workload).filter(|job| job.versioned.record.life == task.life);
        let Some(job) = known else {
            self.observe_orphan(order, &fact.state);
            return;
        };
        let worker = fact.worker.clone();
        match &fact.state {
            TaskState::Ended(end) => self.observe_end(order, end, on_probation, now),
            TaskState::Starting => Self::observe_live(job, &mut self.orphans, order, Phase::Starting { worker }, now),
            TaskState::Stopping => Self::observe_live(job, &mut self.orphans, order, Phase::Stopping { worker }, now),
            TaskState::Running(address) => {
                let waited = job.tasks.get(&task.index).filter(|known| is_starting(known, attempt));
                let waited = waited.map(|known| now.duration_since(known.waiting_since));
                let phase = Phase::Running { worker, since: now, address: *address };
                Self::observe_live(job, &mut self.orphans, order, phase, now);
                self.events.extend(waited.map(|waited| JobEvent::Started(task.clone(), waited)));
            }
        }
    }

    fn observe_orphan(&mut self, order: StopOrder, state: &TaskState) {
        let key = (order.task.clone(), order.attempt);
        if matches!(state, TaskState::Ended(_)) {
            self.orphans.remove(&key);
            self.acknowledgements.push(order);
        } else {
            self.orphans.insert(key, order);
        }
    }

    fn observe_live(
        job: &mut Job,
        orphans: &mut BTreeMap<(Id, Attempt), StopOrder>,
        order: StopOrder,
        phase: Phase,
        now: Instant,
    ) {
        if !job.observe_attempt(order.task.index, order.attempt, phase, now) {
            orphans.insert((order.task.clone(), order.attempt), order);
        }
    }

    fn observe_end(&mut self, order: StopOrder, end: &End, on_probation: bool, now: Instant) {
        self.orphans.remove(&(order.task.clone(), order.attempt));
        let Some(job) = self.jobs.get_mut(&order.task.workload) else { return };
        let index = order.task.index;
        let task = job.tasks.get(&index);
        let finished = task.is_some_and(|task| task.phase == Phase::Finished && task.attempt == order.attempt);
        if finished {
            // Its end is on its way to the platform; acknowledged when it is there.
            let waits = self.unpersisted_ends.get(&order.task.workload).is_some_and(|ends| ends.contains(&order));
            if !waits {
                self.acknowledgements.push(order);
            }
            return;
        }
        let current = task.map_or(Attempt::default(), |task| task.attempt);
        let unseen = order.attempt > current;
        let live = task.is_none_or(|task| task.may_be_live());
        if order.attempt < current || (!unseen && !live) {
            self.acknowledgements.push(order);
            return;
        }
        if unseen {
            job.observe_attempt(index, order.attempt, Phase::Starting { worker: order.worker.clone() }, now);
        }
        // It went with an earlier life of its worker, which is back: it may be what took that one down.
        let restarted = *end == End::Restarted && job.record_worker_loss(index, &order.worker, now, self.worker_count);
        let parked = job.record_end(index, end, on_probation, self.worker_count, now) || restarted;
        if parked {
            self.events.push(JobEvent::Parked(order.task.workload.clone(), job.reason(index, now)));
        }
        self.events.push(JobEvent::Ended(order.task.clone(), order.attempt, end.clone()));
        let must_persist = *end == End::Finished && job.workload().kind != Kind::Service;
        if must_persist {
            self.unpersisted_ends.entry(order.task.workload.clone()).or_default().push(order);
        } else {
            self.acknowledgements.push(order);
        }
    }

    /// Takes in that the holder of the worker, which has the worker's whole inventory, does not know the
    /// latest attempt at a task: it has surely ended.
    pub fn mark_lost(&mut self, task: &Id, attempt: Attempt, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.workload) else { return };
        let current = job.tasks.get(&task.index).is_some_and(|known| known.attempt == attempt && known.may_be_live());
        if job.versioned.record.life == task.life && current {
            job.record_end(task.index, &End::Lost, false, self.worker_count, now);
            self.events.push(JobEvent::Ended(task.clone(), attempt, End::Lost));
        }
        self.orphans.remove(&(task.clone(), attempt));
    }

    /// Takes in that a worker is gone for good, and that every lease on it has lapsed.
    pub fn mark_worker_lost(&mut self, worker: &str, now: Instant) {
        let mut gone: Vec<(Id, Attempt)> = Vec::new();
        for job in self.jobs.values() {
            let there = job.tasks.iter().filter(|(_, task)| task.worker().is_some_and(|on| on == worker));
            gone.extend(there.map(|(index, task)| (job.id(*index), task.attempt)));
        }
        for (task, attempt) in gone {
            self.record_worker_loss(&task, worker, now);
            self.mark_lost(&task, attempt, now);
        }
        self.orphans.retain(|_, order| order.worker != worker);
    }

    /// Holds the end of a worker against a task that had just begun there: it may be what took the worker down, and nobody else would ever
    /// report that.
    fn record_worker_loss(&mut self, task: &Id, worker: &str, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.workload) else { return };
        if job.record_worker_loss(task.index, worker, now, self.worker_count) {
            self.events.push(JobEvent::Parked(task.workload.clone(), job.reason(task.index, now)));
        }
    }

    /// States that every worker that an earlier owner may have used is accounted for: what was not found
    /// surely does not run.
    pub fn finish_recovery(&mut self, now: Instant) {
        if std::mem::replace(&mut self.recovered, true) {
            return;
        }
        for job in self.jobs.values_mut() {
            let unknown: Vec<u32> =
                job.tasks.iter().filter(|(_, task)| task.phase == Phase::Unknown).map(|(index, _)| *index).collect();
            for index in unknown {
                job.set_phase(index, Phase::Waiting, now);
            }
            job.resize(Phase::Waiting, now);
        }
    }

    /// Whether [`JobTracker::finish_recovery`] was stated.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// States what the recovery waits for, as the reason of all tasks that are not known yet.
    pub fn set_recovery_reason(&mut self, waiting_for: &str) {
        for job in self.jobs.values_mut() {
            for task in job.tasks.values_mut().filter(|task| task.phase == Phase::Unknown) {
                task.reason = Reason::Recovering { waiting_for: waiting_for.to_owned() };
            }
        }
    }

    /// Work that may start now, in the order of the names.
    pub fn pending_jobs(&self, now: Instant) -> Vec<PendingJob> {
        let mut pending_jobs = Vec::new();
        for (name, job) in &self.jobs {
            if job.waiting().is_empty() || job.cancelled() || job.retry_state(now) != RetryState::Ready {
                continue;
            }
            let positions = job.startable();
            let since = positions.iter().map(|index| job.tasks[index].waiting_since).min();
            let Some(since) = since else { continue };
            pending_jobs.push(PendingJob { workload: name.clone(), positions, since });
        }
        pending_jobs
    }

    /// Numbers the next attempt at a waiting task and makes the order for it; `None` when it may not start.
    pub fn create_start_order(
        &mut self,
        workload: &str,
        index: u32,
        worker: &WorkerId,
        now: Instant,
    ) -> Option<StartOrder> {
        let job = self.jobs.get_mut(workload)?;
        if job.cancelled() || job.tasks.get(&index)?.phase != Phase::Waiting {
            return None;
        }
        self.last_attempt_number += 1;
        let attempt = Attempt { epoch: self.epoch, number: self.last_attempt_number };
        if let Some(task) = job.tasks.get_mut(&index) {
            task.attempt = attempt;
        }
        job.set_phase(index, Phase::Ordered { worker: worker.clone(), sent_at: now }, now);
        Some(build_start_order(job, index, worker, attempt))
    }

    /// Orders whose answer is overdue, to be sent again just as they were.
    pub fn overdue_orders(&mut self, now: Instant) -> Vec<StartOrder> {
        let mut overdue = Vec::new();
        for job in self.jobs.values_mut() {
            let mut to_resend = Vec::new();
            for (index, task) in &job.tasks {
                let Phase::Ordered { worker, sent_at } = &task.phase else { continue };
                if now.duration_since(*sent_at) >= ORDER_RETRY_INTERVAL {
                    to_resend.push((*index, worker.clone(), task.attempt));
                }
            }
            for (index, worker, attempt) in to_resend {
                overdue.push(build_start_order(job, index, &worker, attempt));
                job.set_phase(index, Phase::Ordered { worker, sent_at: now }, now);
            }
        }
        overdue
    }

    /// Takes in that the holder committed an attempt.
    pub fn start_committed(&mut self, task: &Id, attempt: Attempt, now: Instant) {
        self.resolve_start_order(task, attempt, |worker| Phase::Starting { worker }, None, now);
    }

    /// Takes in that an ordered attempt surely was not started, with the reason.
    pub fn start_refused(&mut self, task: &Id, attempt: Attempt, reason: Reason, now: Instant) {
        self.resolve_start_order(task, attempt, |_| Phase::Waiting, Some(reason), now);
    }

    fn resolve_start_order(
        &mut self,
        task: &Id,
        attempt: Attempt,
        phase: impl Fn(WorkerId) -> Phase,
        reason: Option<Reason>,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&task.workload) else { return };
        let Some(known) = job.tasks.get_mut(&task.index) else { return };
        let Phase::Ordered { worker, .. } = &known.phase else { return };
        if known.attempt != attempt || job.versioned.record.life != task.life {
            return;
        }
        let since = known.waiting_since;
        let phase = phase(worker.clone());
        if let Some(reason) = reason {
            known.reason = reason;
        }
        job.set_phase(task.index, phase, now);
        // A refused order is no new wait.
        if let Some(known) = job.tasks.get_mut(&task.index) {
            known.waiting_since = since;
        }
        job.resize(Phase::Waiting, now);
    }

    /// States why the waiting tasks of a workload wait.
    pub fn set_waiting_reason(&mut self, workload: &str, reason: &Reason) {
        let Some(job) = self.jobs.get_mut(workload) else { return };
        let waiting: Vec<u32> = job.waiting().iter().copied().collect();
        for index in waiting {
            if let Some(task) = job.tasks.get_mut(&index)
                && task.reason != *reason
            {
                task.reason = reason.clone();
            }
        }
    }

    /// Attempts that live without a place in this tracker: of workloads that are not known, or older than the
    /// latest one. They should end, once it is certain that the tracker is not behind.
    pub fn orphans(&self) -> impl Iterator<Item = &StopOrder> + '_ {
        self.orphans.values()
    }

    /// Attempts to stop, again and again until they have ended.
    pub fn stop_orders(&mut self, now: Instant) -> Vec<StopOrder> {
        let mut orders: Vec<StopOrder> = Vec::new();
        for job in self.jobs.values_mut() {
            let attempts_to_stop = job.attempts_to_stop(now);
            for order in &attempts_to_stop {
                job.set_phase(order.task.index, Phase::Stopping { worker: order.worker.clone() }, now);
            }
            orders.extend(attempts_to_stop);
        }
        orders
    }

    /// Empties leaving workers.
    pub fn evacuate(&mut self, worker: &WorkerId, now: Instant) -> Vec<StopOrder> {
        self.jobs.values_mut().flat_map(|job| job.evacuate(worker, now)).collect()
    }

    /// Ended attempts that their workers may forget; handed out once.
    pub fn take_acknowledgements(&mut self) -> Vec<StopOrder> {
        std::mem::take(&mut self.acknowledgements)
    }

    /// What is worth a log line; handed out once.
    pub fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// Finished tasks that the platform does not have yet: what to write, and the ends that it covers.
    pub fn unpersisted_ends(&self) -> Vec<(WorkloadId, Progress, Vec<StopOrder>)> {
        let mut writes = Vec::new();
        for (name, ends) in &self.unpersisted_ends {
            let Some(job) = self.jobs.get(name) else { continue };
            writes.push((name.clone(), job.progress(), ends.clone()));
        }
        writes
    }

    /// Takes in that the platform has the ends of these attempts.
    pub fn mark_persisted(&mut self, workload: &str, ends: &[StopOrder]) {
        let Some(waiting) = self.unpersisted_ends.get_mut(workload) else { return };
        waiting.retain(|order| !ends.contains(order));
        if waiting.is_empty() {
            self.unpersisted_ends.remove(workload);
        }
        self.acknowledgements.extend_from_slice(ends);
    }

    /// Workloads that have been over for so long, and whose ends are stored_progress, with the revisions of their
    /// records: the records may be removed.
    pub fn expired_workloads(&mut self, keep: Duration, now: Instant) -> Vec<(WorkloadId, Revision)> {
        let mut expired = Vec::new();
        for (name, job) in &mut self.jobs {
            if job.is_expired(keep, now) && self.recovered && !self.unpersisted_ends.contains_key(name) {
                expired.push((name.clone(), job.versioned.revision));
            }
        }
        expired
    }

    /// Workers that have, or may have, an attempt of this partition.
    pub fn workers_in_use(&self) -> BTreeSet<WorkerId> {
        self.jobs.values().flat_map(|job| job.tasks.values().filter_map(|task| task.worker().cloned())).collect()
    }

    /// Attempts that may live on a worker, with their names, for a comparison with its holder's facts.
    pub fn possibly_live_attempts(&self) -> impl Iterator<Item = (Id, Attempt, &WorkerId)> + '_ {
        self.jobs.values().flat_map(|job| {
            job.tasks.iter().filter_map(|(index, task)| {
                let settled = !matches!(task.phase, Phase::Ordered { .. });
                task.worker().filter(|_| settled).map(|worker| (job.id(*index), task.attempt, worker))
            })
        })
    }
}

fn is_starting(known: &Task, attempt: Attempt) -> bool {
    known.attempt == attempt && matches!(known.phase, Phase::Ordered { .. } | Phase::Starting { .. })
}

fn build_start_order(job: &Job, index: u32, worker: &WorkerId, attempt: Attempt) -> StartOrder {
    let workload = job.workload();
    StartOrder {
        worker: worker.clone(),
        task: job.id(index),
        attempt,
        resources: workload.each,
        run: workload.run.clone(),
        service: workload.kind == Kind::Service,
        patient: workload.priority == model::workload::Priority::Patient,
    }
}
