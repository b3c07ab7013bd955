//! One workload's share in this data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use model::task::{Attempt, End, Id};
use model::workload::{Intent, Kind, Progress, Versioned, Workload};
use model::{DataCentreId, Reason, WorkerId};
use wire::StopOrder;

use crate::failures::{Failures, RetryState};
use crate::task::{Phase, Task};

/// A service instance that ran for so long counts as a success.
const HEALTHY_AFTER: std::time::Duration = std::time::Duration::from_secs(60);
/// An instance on a leaving worker is stopped after so long even when its successor does not run yet.
const REPLACEMENT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// A workload's share, with its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// The record that it follows.
    pub versioned: Versioned,
    /// Its tasks by position.
    pub tasks: BTreeMap<u32, Task>,
    /// Its failures.
    pub failures: Failures,
    data_centre: DataCentreId,
    waiting: BTreeSet<u32>,
    /// Since when nothing of it lives or is left to run.
    complete_since: Option<Instant>,
    /// Instances that leave their worker, with their successor and since when.
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

    /// What was asked for.
    pub fn workload(&self) -> &Workload {
        &self.versioned.record.workload
    }

    /// Tasks that this data centre should run.
    pub fn desired_count(&self) -> u32 {
        if self.versioned.record.intent == Intent::Cancel {
            return 0;
        }
        self.versioned.record.shares.get(&self.data_centre).copied().unwrap_or(0)
    }

    /// Whether an operator cancelled it.
    pub fn cancelled(&self) -> bool {
        self.versioned.record.intent == Intent::Cancel
    }

    /// Positions of tasks that wait for a start.
    pub fn waiting(&self) -> &BTreeSet<u32> {
        &self.waiting
    }

    /// Name of the task at a position.
    pub fn id(&self, index: u32) -> Id {
        Id {
            workload: self.workload().name.clone(),
            life: self.versioned.record.life,
            data_centre: self.data_centre.clone(),
            index,
        }
    }

    /// Moves a task to a phase; the only place that does, so that the waiting set stays right.
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

    /// Marks tasks that finished in an earlier epoch.
    pub(crate) fn restore(&mut self, progress: &Progress, now: Instant) {
        if progress.life != self.versioned.record.life {
            return;
        }
        for index in progress.positions() {
            self.add_task(index, Phase::Finished, now);
        }
    }

    /// Makes the tasks match what is desired: adds missing ones in `phase`, drops surplus ones that don't live.
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
            // Just the desired ones: this is asked after each order and end of a run with thousands of tasks.
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

    /// Instances that are not about to be replaced by a successor.
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

    /// Takes in where an attempt was found. Returns false when it is an older attempt than the known one.
    pub(crate) fn observe_attempt(&mut self, index: u32, attempt: Attempt, phase: Phase, now: Instant) -> bool {
        if !self.tasks.contains_key(&index) {
            self.add_task(index, Phase::Unknown, now);
        }
        let Some(task) = self.tasks.get_mut(&index) else { return false };
        if attempt < task.attempt || task.phase == Phase::Finished {
            return false;
        }
        // A stop that was asked for stays asked for, whatever an older report says.
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

    /// Takes in that the latest attempt at a task has surely ended. Tells whether the workload got parked.
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

    /// Takes in that the worker of a task is gone. Tells whether the workload got parked.
    pub(crate) fn record_worker_loss(&mut self, index: u32, worker: &str, now: Instant, worker_count: usize) -> bool {
        let new = match self.tasks.get(&index).map(|task| &task.phase) {
            Some(Phase::Starting { .. }) => true,
            Some(Phase::Running { since, .. }) => now.duration_since(*since) < HEALTHY_AFTER,
            _ => false,
        };
        new && self.failures.record_worker_loss(worker, worker_count, now)
    }

    /// Drops the task when it is surplus or has been replaced by its successor.
    fn after_end(&mut self, index: u32, now: Instant) {
        let live = self.tasks.get(&index).is_some_and(Task::may_be_live);
        if self.replacements.contains_key(&index) && !live {
            self.remove_task(index);
        }
        self.resize(Phase::Waiting, now);
    }

    /// Whether tasks may be started now.
    pub fn retry_state(&self, now: Instant) -> RetryState {
        self.failures.retry_state(now)
    }

    /// Positions to start now: any that wait, but for a gang only all unfinished ones together.
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

    /// Attempts that should end: of cancelled or surplus tasks, of instances whose successor runs, and of
    /// gangs that have lost a member.
    pub(crate) fn attempts_to_stop(&self, now: Instant) -> Vec<StopOrder> {
        let mut orders: BTreeMap<u32, StopOrder> = BTreeMap::new();
        for index in self.surplus() {
            orders.extend(self.stop_order(index).map(|order| (index, order)));
        }
        for (old, (new, since)) in &self.replacements {
            let successor = self.tasks.get(new).map(|task| &task.phase);
            let succeeded = matches!(successor, Some(Phase::Running { .. }));
            if succeeded || now.duration_since(*since) >= REPLACEMENT_TIMEOUT {
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
        let over = self.retained_count().saturating_sub(desired) as usize;
        let retained = self.tasks.keys().rev().filter(|index| !self.replacements.contains_key(index));
        retained.take(over).copied().collect()
    }

    fn gang_is_incomplete(&self) -> bool {
        if self.workload().kind != Kind::Gang || self.waiting.is_empty() {
            return false;
        }
        // While the gang is being ordered, no member waits; afterwards a waiting one has been lost.
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

    /// Empties a leaving worker: instances get a successor first, other tasks are stopped and wait again.
    pub(crate) fn evacuate(&mut self, worker: &WorkerId, now: Instant) -> Vec<StopOrder> {
        let there: Vec<u32> = self
            .tasks
            .iter()
            .filter(|(_, task)| matches!(&task.phase, Phase::Running { worker: on, .. } if on == worker))
            .map(|(index, _)| *index)
            .collect();
        if self.workload().kind != Kind::Service {
            return there.into_iter().filter_map(|index| self.stop_order(index)).collect();
        }
        for index in there {
            if self.replacements.contains_key(&index) || self.retained_count() > self.desired_count() {
                continue;
            }
            let successor = self.tasks.keys().next_back().map_or(0, |last| last + 1);
            self.replacements.insert(index, (successor, now));
            self.add_task(successor, Phase::Waiting, now);
        }
        Vec::new()
    }

    /// Whether nothing lives and nothing is left to run.
    pub fn is_complete(&self) -> bool {
        let done = self.tasks.values().all(|task| task.phase == Phase::Finished);
        done && (self.cancelled() || self.workload().kind != Kind::Service)
    }

    /// Whether it has been over for so long. Looks at the clock, so it must be asked from time to time.
    pub(crate) fn is_expired(&mut self, keep: std::time::Duration, now: Instant) -> bool {
        if !self.is_complete() {
            self.complete_since = None;
            return false;
        }
        let since = *self.complete_since.get_or_insert(now);
        now.duration_since(since) >= keep
    }

    /// Which tasks have finished.
    pub fn progress(&self) -> Progress {
        let finished = self.tasks.iter().filter(|(_, task)| task.phase == Phase::Finished);
        Progress::new(self.versioned.record.life, finished.map(|(index, _)| *index))
    }

    /// Why the task at a position stands where it stands.
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
