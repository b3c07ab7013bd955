//! The jobs of one partition, tracked by its owner for the duration of one claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::task::{Attempt, End, Id};
use model::workload::{Kind, Progress, Versioned};
use model::{DataCentreId, Epoch, Reason, Revision, WorkerId, WorkloadId};
use wire::{StartOrder, StopOrder, TaskFact, TaskState};

use crate::failure::RetryState;
use crate::job::Job;
use crate::task::{Phase, Task};

/// Delay after which an unanswered start order is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A job with tasks that wait and may be started now.
#[derive(Clone, Debug)]
pub struct PendingJob {
    /// The workload that the job belongs to.
    pub workload: WorkloadId,
    /// Indexes of the tasks to start. The tasks of a gang must be started all or none.
    pub positions: Vec<u32>,
    /// Since when the longest-waiting of these tasks has waited.
    pub since: Instant,
}

/// A change that the caller may log or count in a metric.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEvent {
    /// A task started to run, after waiting for the given time.
    Started(Id, Duration),
    /// An attempt ended.
    Ended(Id, Attempt, End),
    /// A workload was parked.
    Parked(WorkloadId, Reason),
}

/// The jobs of one partition and everything its owner must send, store or acknowledge for them.
#[derive(Debug)]
pub struct JobTracker {
    epoch: Epoch,
    data_centre: DataCentreId,
    jobs: BTreeMap<WorkloadId, Job>,
    last_attempt_number: u32,
    /// Whether the attempts of previous owners are all known.
    recovered: bool,
    acknowledgements: Vec<StopOrder>,
    orphans: BTreeMap<(Id, Attempt), StopOrder>,
    /// Finished attempts that the platform has not stored yet, and that must not be acknowledged before.
    unpersisted_ends: BTreeMap<WorkloadId, Vec<StopOrder>>,
    events: Vec<JobEvent>,
    worker_count: usize,
}

impl JobTracker {
    /// Creates the tracker of a partition that was just claimed with `epoch`.
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

    /// The epoch of the claim.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The jobs by workload name.
    pub fn jobs(&self) -> &BTreeMap<WorkloadId, Job> {
        &self.jobs
    }

    /// Sets the number of workers in the data centre.
    pub fn set_worker_count(&mut self, count: usize) {
        self.worker_count = count;
    }

    /// Applies a workload record, unless its revision is not newer than the known one.
    ///
    /// `accepted_after_claim` means that no previous owner can have started tasks of the workload, so they may be
    /// started before the recovery is finished.
    pub fn apply(
        &mut self,
        versioned: Versioned,
        progress: Option<&Progress>,
        accepted_after_claim: bool,
        now: Instant,
    ) {
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
            // A change by an operator unparks a workload that failed.
            job.failures.record_success();
        }
        let phase = if accepted_after_claim || self.recovered { Phase::Waiting } else { Phase::Unknown };
        if let Some(job) = self.jobs.get_mut(&name) {
            job.resize(phase, now);
        }
    }

    /// Removes a workload whose record was removed. Attempts that may still be running become orphans.
    pub fn remove_workload(&mut self, workload: &str) {
        let Some(job) = self.jobs.remove(workload) else { return };
        self.unpersisted_ends.remove(workload);
        for (index, task) in &job.tasks {
            let Some(worker) = task.worker() else { continue };
            let order = StopOrder { worker: worker.clone(), task: job.id(*index), attempt: task.attempt };
            self.orphans.insert((order.task.clone(), order.attempt), order);
        }
    }

    /// Processes a fact about an attempt, published by the holder of its worker.
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
                let started = job.tasks.get(&task.index).filter(|known| is_starting(known, attempt));
                let waited = started.map(|known| now.duration_since(known.waiting_since));
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
            // Acknowledge it only once the platform has stored the end.
            let unpersisted = self.unpersisted_ends.get(&order.task.workload).is_some_and(|ends| ends.contains(&order));
            if !unpersisted {
                self.acknowledgements.push(order);
            }
            return;
        }
        let current = task.map_or(Attempt::default(), |task| task.attempt);
        let is_newer = order.attempt > current;
        let live = task.is_none_or(|task| task.may_be_live());
        if order.attempt < current || (!is_newer && !live) {
            self.acknowledgements.push(order);
            return;
        }
        if is_newer {
            job.observe_attempt(index, order.attempt, Phase::Starting { worker: order.worker.clone() }, now);
        }
        // The worker restarted while it ran this attempt, which may have been the cause.
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

    /// Records that an attempt no longer exists, because the worker's holder has the worker's complete inventory and
    /// does not list it.
    pub fn mark_lost(&mut self, task: &Id, attempt: Attempt, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.workload) else { return };
        let current = job.tasks.get(&task.index).is_some_and(|known| known.attempt == attempt && known.may_be_live());
        if job.versioned.record.life == task.life && current {
            job.record_end(task.index, &End::Lost, false, self.worker_count, now);
            self.events.push(JobEvent::Ended(task.clone(), attempt, End::Lost));
        }
        self.orphans.remove(&(task.clone(), attempt));
    }

    /// Records that a worker is permanently gone and that all leases on it have expired.
    pub fn mark_worker_lost(&mut self, worker: &str, now: Instant) {
        let mut lost_attempts: Vec<(Id, Attempt)> = Vec::new();
        for job in self.jobs.values() {
            let on_worker =
                job.tasks.iter().filter(|(_, task)| task.worker().is_some_and(|task_worker| task_worker == worker));
            lost_attempts.extend(on_worker.map(|(index, task)| (job.id(*index), task.attempt)));
        }
        for (task, attempt) in lost_attempts {
            self.record_worker_loss(&task, worker, now);
            self.mark_lost(&task, attempt, now);
        }
        self.orphans.retain(|_, order| order.worker != worker);
    }

    /// Counts the loss of a worker as a failure of a task that had recently started there. The task may have crashed
    /// the worker, and then nothing else reports the failure.
    fn record_worker_loss(&mut self, task: &Id, worker: &str, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.workload) else { return };
        if job.record_worker_loss(task.index, worker, now, self.worker_count) {
            self.events.push(JobEvent::Parked(task.workload.clone(), job.reason(task.index, now)));
        }
    }

    /// Ends the recovery: every worker that a previous owner may have used has been accounted for, so tasks of which
    /// no attempt was found are not running and may be started.
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

    /// Whether [`JobTracker::finish_recovery`] has been called.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Sets what the recovery waits for as the reason of all tasks in [`Phase::Unknown`].
    pub fn set_recovery_reason(&mut self, waiting_for: &str) {
        for job in self.jobs.values_mut() {
            for task in job.tasks.values_mut().filter(|task| task.phase == Phase::Unknown) {
                task.reason = Reason::Recovering { waiting_for: waiting_for.to_owned() };
            }
        }
    }

    /// Jobs with tasks that may be started now, ordered by workload name.
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

    /// Creates the next attempt at a waiting task and returns the start order for it. Returns `None` if the task does
    /// not wait or the workload is cancelled.
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

    /// Start orders whose answer is overdue. They are to be sent again unchanged, under the same attempt number.
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

    /// Records that the holder has committed capacity for an ordered attempt.
    pub fn start_committed(&mut self, task: &Id, attempt: Attempt, now: Instant) {
        self.resolve_start_order(task, attempt, |worker| Phase::Starting { worker }, None, now);
    }

    /// Records that an ordered attempt was not and will not be started.
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
        // A refused start order does not reset the waiting time.
        if let Some(known) = job.tasks.get_mut(&task.index) {
            known.waiting_since = since;
        }
        job.resize(Phase::Waiting, now);
    }

    /// Sets the reason of all waiting tasks of a workload.
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

    /// Attempts that may be running but don't belong to any task here: their workload is unknown, or the task has a
    /// newer attempt. The caller should stop them once it is certain that this tracker has the current records.
    pub fn orphans(&self) -> impl Iterator<Item = &StopOrder> + '_ {
        self.orphans.values()
    }

    /// Attempts to stop. Each is returned on every call until it has ended.
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

    /// Moves all tasks off a leaving worker and returns the attempts to stop now.
    pub fn evacuate(&mut self, worker: &WorkerId, now: Instant) -> Vec<StopOrder> {
        self.jobs.values_mut().flat_map(|job| job.evacuate(worker, now)).collect()
    }

    /// Takes the ended attempts that their workers may forget.
    pub fn take_acknowledgements(&mut self) -> Vec<StopOrder> {
        std::mem::take(&mut self.acknowledgements)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<JobEvent> {
        std::mem::take(&mut self.events)
    }

    /// For each workload with ends that the platform has not stored: the progress to write, and the finished attempts
    /// that it covers.
    pub fn unpersisted_ends(&self) -> Vec<(WorkloadId, Progress, Vec<StopOrder>)> {
        let mut writes = Vec::new();
        for (name, ends) in &self.unpersisted_ends {
            let Some(job) = self.jobs.get(name) else { continue };
            writes.push((name.clone(), job.progress(), ends.clone()));
        }
        writes
    }

    /// Whether the platform has yet to store ends of a workload's tasks.
    pub fn has_unpersisted_ends(&self, workload: &str) -> bool {
        self.unpersisted_ends.contains_key(workload)
    }

    /// Records that the platform has stored the ends of these attempts, which may now be acknowledged.
    pub fn mark_persisted(&mut self, workload: &str, ends: &[StopOrder]) {
        let Some(waiting) = self.unpersisted_ends.get_mut(workload) else { return };
        waiting.retain(|order| !ends.contains(order));
        if waiting.is_empty() {
            self.unpersisted_ends.remove(workload);
        }
        self.acknowledgements.extend_from_slice(ends);
    }

    /// Workloads whose records may be removed, with the revisions of those records: they have been complete for at
    /// least `keep`, and all their ends are stored.
    pub fn expired_workloads(&mut self, keep: Duration, now: Instant) -> Vec<(WorkloadId, Revision)> {
        let mut expired = Vec::new();
        for (name, job) in &mut self.jobs {
            if job.is_expired(keep, now) && self.recovered && !self.unpersisted_ends.contains_key(name) {
                expired.push((name.clone(), job.versioned.revision));
            }
        }
        expired
    }

    /// Workers that run, or may run, an attempt of this partition.
    pub fn workers_in_use(&self) -> BTreeSet<WorkerId> {
        self.jobs.values().flat_map(|job| job.tasks.values().filter_map(|task| task.worker().cloned())).collect()
    }

    /// Attempts that may be running on a worker, to be compared with the facts of its holder. Attempts whose start
    /// order is unanswered are left out, because the holder need not know them yet.
    pub fn possibly_live_attempts(&self) -> impl Iterator<Item = (Id, Attempt, &WorkerId)> + '_ {
        self.jobs.values().flat_map(|job| {
            job.tasks.iter().filter_map(|(index, task)| {
                let answered = !matches!(task.phase, Phase::Ordered { .. });
                task.worker().filter(|_| answered).map(|worker| (job.id(*index), task.attempt, worker))
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
