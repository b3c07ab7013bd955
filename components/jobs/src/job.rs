//! The tasks of one workload that are assigned to this data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use model::task::{Attempt, End, Id};
use model::workload::{Intent, Kind, Progress, Versioned, Workload};
use model::{DataCentreId, Reason, WorkerId};
use wire::StopOrder;

use crate::failure::{Failures, RetryState};
use crate::task::{Phase, Task};

/// A task that ran this long counts as healthy: its earlier failures are forgotten, and the loss of its worker is
/// not blamed on it.
const HEALTHY_AFTER: std::time::Duration = std::time::Duration::from_secs(60);
/// How long a service instance on a leaving worker waits for its replacement to run before it is stopped anyway.
const REPLACEMENT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// The part of a workload that this data centre runs, with its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// The latest accepted record of the workload, with its revision.
    pub versioned: Versioned,
    /// The tasks by index.
    pub tasks: BTreeMap<u32, Task>,
    /// Failures since the last success.
    pub failures: Failures,
    data_centre: DataCentreId,
    /// Indexes of the tasks in [`Phase::Waiting`].
    waiting: BTreeSet<u32>,
    /// When the job was first seen complete.
    complete_since: Option<Instant>,
    /// Service instances that are moving off a leaving worker: for each one, the index of its replacement and the
    /// time at which that was added.
    replacements: BTreeMap<u32, (u32, Instant)>,
}

impl Job {
    pub(crate) fn new(versioned: Versioned, data_centre: DataCentreId) -> Job {
        Job {
            versioned,
            tasks: BTreeMap::new(),
            failures: Failures::default(),
            data_centre,
            waiting: BTreeSet::new(),
            complete_since: None,
            replacements: BTreeMap::new(),
        }
    }

    /// The workload's specification.
    pub fn workload(&self) -> &Workload {
        &self.versioned.record.workload
    }

    /// Number of tasks that this data centre should run; zero once the workload is cancelled.
    pub fn desired_count(&self) -> u32 {
        if self.versioned.record.intent == Intent::Cancel {
            return 0;
        }
        self.versioned.record.shares.get(&self.data_centre).copied().unwrap_or(0)
    }

    /// Whether the workload is cancelled.
    pub fn cancelled(&self) -> bool {
        self.versioned.record.intent == Intent::Cancel
    }

    /// Indexes of the tasks that wait for a start.
    pub fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Full identifier of the task at `index`.
    pub fn id(&self, index: u32) -> Id {
        Id {
            workload: self.workload().name.clone(),
            life: self.versioned.record.life,
            data_centre: self.data_centre.clone(),
            index,
        }
    }

    /// Sets the phase of a task. All phase changes go through here, which keeps `waiting` consistent.
    pub(crate) fn set_phase(&mut self, index: u32, phase: Phase, now: Instant) {
        let Some(task) = self.tasks.get_mut(&index) else { return };
        if phase == Phase::Waiting {
            self.waiting.insert(index);
            if task.phase != Phase::Waiting {
                task.waiting_since = now;
            }
        } else {
            self.waiting.remove(&index);
        }
        task.phase = phase;
    }

    fn add_task(&mut self, index: u32, phase: Phase, now: Instant) {
        self.tasks.entry(index).or_insert_with(|| Task::new(phase.clone(), now));
        self.set_phase(index, phase, now);
    }

    fn remove_task(&mut self, index: u32) {
        self.waiting.remove(&index);
        self.tasks.remove(&index);
        self.replacements.remove(&index);
    }

    /// Marks the tasks as finished that a previous owner has stored as finished.
    pub(crate) fn restore(&mut self, progress: &Progress, now: Instant) {
        if progress.life != self.versioned.record.life {
            return;
        }
        for index in progress.positions() {
            self.add_task(index, Phase::Finished, now);
        }
    }

    /// Adjusts the tasks to the desired count: adds missing tasks in `phase`, and removes surplus tasks that have no
    /// live attempt.
    pub(crate) fn resize(&mut self, phase: Phase, now: Instant) {
        let desired = self.desired_count();
        if self.workload().kind != Kind::Service {
            self.resize_non_service(desired, phase, now);
            return;
        }
        self.remove_idle_surplus(desired);
        let mut index = 0;
        while self.retained_count() < desired {
            if !self.tasks.contains_key(&index) {
                self.add_task(index, phase.clone(), now);
            }
            index += 1;
        }
    }

    fn resize_non_service(&mut self, desired: u32, phase: Phase, now: Instant) {
        let last = self.tasks.keys().next_back().map_or(0, |last| last + 1);
        if last == desired && self.tasks.len() == desired as usize {
            // Exactly the desired tasks exist. Return early, because this runs after every start order and every end
            // of jobs with thousands of tasks.
            return;
        }
        for index in 0..desired {
            if !self.tasks.contains_key(&index) {
                self.add_task(index, phase.clone(), now);
            }
        }
        let surplus: Vec<u32> = self.tasks.range(desired..).map(|(index, _)| *index).collect();
        for index in surplus {
            if !self.tasks[&index].may_be_live() {
                self.remove_task(index);
            }
        }
    }

    /// Number of tasks that are not being replaced.
    fn retained_count(&self) -> u32 {
        (self.tasks.len() - self.replacements.len()) as u32
    }

    fn remove_idle_surplus(&mut self, desired: u32) {
        let idle: Vec<u32> =
            self.tasks.iter().rev().filter(|(_, task)| !task.may_be_live()).map(|(index, _)| *index).collect();
        for index in idle {
            if self.retained_count() <= desired {
                return;
            }
            self.remove_task(index);
        }
    }

    /// Records the reported phase of an attempt. Returns false if a newer attempt is known or the task has finished.
    pub(crate) fn observe_attempt(&mut self, index: u32, attempt: Attempt, phase: Phase, now: Instant) -> bool {
        if !self.tasks.contains_key(&index) {
            self.add_task(index, Phase::Unknown, now);
        }
        let Some(task) = self.tasks.get_mut(&index) else { return false };
        if attempt < task.attempt || task.phase == Phase::Finished {
            return false;
        }
        // A report made before the stop request must not undo it.
        let stopping = attempt == task.attempt && matches!(task.phase, Phase::Stopping { .. });
        let same_run = attempt == task.attempt && matches!(task.phase, Phase::Running { .. });
        task.attempt = attempt;
        match (phase, &mut task.phase) {
            (Phase::Running { address: new, .. }, Phase::Running { address, .. }) if same_run => *address = new,
            (Phase::Running { .. } | Phase::Starting { .. }, _) if stopping => {}
            (phase, _) => self.set_phase(index, phase, now),
        }
        true
    }

    /// Records that the latest attempt at a task has ended, and returns whether this parks the workload.
    pub(crate) fn record_end(
        &mut self,
        index: u32,
        end: &End,
        on_probation: bool,
        worker_count: usize,
        now: Instant,
    ) -> bool {
        let Some(task) = self.tasks.get(&index) else { return false };
        let worker = task.worker().cloned();
        let healthy =
            matches!(&task.phase, Phase::Running { since, .. } if now.duration_since(*since) >= HEALTHY_AFTER);
        let service = self.workload().kind == Kind::Service;
        let mut parked = false;
        match end {
            End::Finished if !service => {
                self.failures.record_success();
                self.set_phase(index, Phase::Finished, now);
            }
            End::Failed { message } => {
                if healthy {
                    self.failures.record_success();
                }
                let worker = worker.as_deref().unwrap_or("an unknown worker");
                parked = self.failures.record_failure(worker, message, on_probation, worker_count, now);
                self.set_phase(index, Phase::Waiting, now);
            }
            End::Finished | End::Stopped | End::Lost | End::Restarted => self.set_phase(index, Phase::Waiting, now),
        }
        if matches!(end, End::Stopped)
            && let Some(task) = self.tasks.get_mut(&index)
        {
            task.reason = Reason::Preempted;
        }
        self.after_end(index, now);
        parked
    }

    /// Records the loss of the worker that ran a task, and returns whether this parks the workload. Only a task that
    /// had recently started is blamed.
    pub(crate) fn record_worker_loss(&mut self, index: u32, worker: &str, now: Instant, worker_count: usize) -> bool {
        let recently_started = match self.tasks.get(&index).map(|task| &task.phase) {
            Some(Phase::Starting { .. }) => true,
            Some(Phase::Running { since, .. }) => now.duration_since(*since) < HEALTHY_AFTER,
            _ => false,
        };
        recently_started && self.failures.record_worker_loss(worker, worker_count, now)
    }

    /// Removes an ended task that is surplus or being replaced.
    fn after_end(&mut self, index: u32, now: Instant) {
        let live = self.tasks.get(&index).is_some_and(Task::may_be_live);
        if self.replacements.contains_key(&index) && !live {
            self.remove_task(index);
        }
        self.resize(Phase::Waiting, now);
    }

    /// Whether the failures of the workload allow a start at `now`.
    pub fn retry_state(&self, now: Instant) -> RetryState {
        self.failures.retry_state(now)
    }

    /// Indexes of the tasks to start now: all waiting ones, but for a gang none unless all its unfinished tasks wait.
    pub fn startable(&self) -> Vec<u32> {
        if self.workload().kind != Kind::Gang {
            return self.waiting.iter().copied().collect();
        }
        let unfinished = self.tasks.values().filter(|task| task.phase != Phase::Finished).count();
        if unfinished != self.waiting.len() {
            return Vec::new();
        }
        self.waiting.iter().copied().collect()
    }

    /// Attempts to stop: those of cancelled or surplus tasks, of instances whose replacement runs or is overdue, and
    /// of a gang that has lost a member.
    pub(crate) fn attempts_to_stop(&self, now: Instant) -> Vec<StopOrder> {
        let mut orders: BTreeMap<u32, StopOrder> = BTreeMap::new();
        for index in self.surplus() {
            orders.extend(self.stop_order(index).map(|order| (index, order)));
        }
        for (old, (replacement, since)) in &self.replacements {
            let phase = self.tasks.get(replacement).map(|task| &task.phase);
            let replaced = matches!(phase, Some(Phase::Running { .. }));
            if replaced || now.duration_since(*since) >= REPLACEMENT_TIMEOUT {
                orders.extend(self.stop_order(*old).map(|order| (*old, order)));
            }
        }
        if self.gang_is_incomplete() {
            for index in self.tasks.keys() {
                orders.extend(self.stop_order(*index).map(|order| (*index, order)));
            }
        }
        orders.into_values().collect()
    }

    fn surplus(&self) -> Vec<u32> {
        let desired = self.desired_count();
        if desired == 0 {
            return self.tasks.keys().copied().collect();
        }
        if self.workload().kind != Kind::Service {
            return self.tasks.range(desired..).map(|(index, _)| *index).collect();
        }
        let surplus_count = self.retained_count().saturating_sub(desired) as usize;
        let retained = self.tasks.keys().rev().filter(|index| !self.replacements.contains_key(index));
        retained.take(surplus_count).copied().collect()
    }

    fn gang_is_incomplete(&self) -> bool {
        if self.workload().kind != Kind::Gang || self.waiting.is_empty() {
            return false;
        }
        // All members are ordered together, so a member that waits while others run has lost its attempt.
        self.tasks.values().any(|task| matches!(task.phase, Phase::Running { .. } | Phase::Starting { .. }))
    }

    fn stop_order(&self, index: u32) -> Option<StopOrder> {
        let task = self.tasks.get(&index)?;
        match &task.phase {
            Phase::Starting { worker } | Phase::Running { worker, .. } | Phase::Stopping { worker } => {
                Some(StopOrder { worker: worker.clone(), task: self.id(index), attempt: task.attempt })
            }
            Phase::Unknown | Phase::Waiting | Phase::Ordered { .. } | Phase::Finished => None,
        }
    }

    /// Moves tasks off a leaving worker. For service instances it adds replacements and stops nothing yet; for other
    /// tasks it returns stop orders, and they wait for a new start once they have stopped.
    pub(crate) fn evacuate(&mut self, worker: &WorkerId, now: Instant) -> Vec<StopOrder> {
        let on_worker: Vec<u32> = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(&task.phase, Phase::Running { worker: on, .. } if on == worker))
            .map(|(index, _)| *index)
            .collect();
        if self.workload().kind != Kind::Service {
            return on_worker.into_iter().filter_map(|index| self.stop_order(index)).collect();
        }
        for index in on_worker {
            if self.replacements.contains_key(&index) || self.retained_count() > self.desired_count() {
                continue;
            }
            let replacement = self.tasks.keys().next_back().map_or(0, |last| last + 1);
            self.replacements.insert(index, (replacement, now));
            self.add_task(replacement, Phase::Waiting, now);
        }
        Vec::new()
    }

    /// Whether no attempt is running and nothing is left to run.
    pub fn is_complete(&self) -> bool {
        let done = self.tasks.values().all(|task| task.phase == Phase::Finished);
        done && (self.cancelled() || self.workload().kind != Kind::Service)
    }

    /// Whether the job has been complete for at least `keep`. The period starts at the first call that finds it
    /// complete, so this must be called regularly.
    pub(crate) fn is_expired(&mut self, keep: std::time::Duration, now: Instant) -> bool {
        if !self.is_complete() {
            self.complete_since = None;
            return false;
        }
        let since = *self.complete_since.get_or_insert(now);
        now.duration_since(since) >= keep
    }

    /// The finished tasks, in the form that is stored.
    pub fn progress(&self) -> Progress {
        let finished = self.tasks.iter().filter(|(_, task)| task.phase == Phase::Finished);
        Progress::new(self.versioned.record.life, finished.map(|(index, _)| *index))
    }

    /// The reason for the current phase of a task, as shown to operators.
    pub fn reason(&self, index: u32, now: Instant) -> Reason {
        let Some(task) = self.tasks.get(&index) else { return Reason::NotLookedAt };
        match &task.phase {
            Phase::Unknown => task.reason.clone(),
            Phase::Waiting if self.cancelled() => Reason::Cancelled,
            Phase::Waiting => match self.retry_state(now) {
                RetryState::Ready => task.reason.clone(),
                RetryState::Pause(reason) | RetryState::Parked(reason) => reason,
            },
            Phase::Ordered { worker, .. } | Phase::Starting { worker } => Reason::Starting { worker: worker.clone() },
            Phase::Running { worker, .. } => Reason::Running { worker: worker.clone() },
            Phase::Stopping { .. } if self.cancelled() => Reason::Cancelled,
            Phase::Stopping { .. } => Reason::Preempted,
            Phase::Finished => Reason::Finished,
        }
    }
}
