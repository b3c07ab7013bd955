//! One workload's share in this data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use model::task::{Attempt, End, Id};
use model::workload::{Intent, Kind, Progress, Versioned, Workload};
use model::{DataCentreId, Reason, WorkerId};
use wire::StopOrder;

use crate::failure::{Failures, Verdict};
use crate::task::{Phase, Task};

/// A service instance that ran for so long counts as a success.
const HEALTHY_AFTER: std::time::Duration = std::time::Duration::from_secs(60);
/// An instance on a leaving worker is stopped after so long even when its successor does not run yet.
const MOVE_WITHIN: std::time::Duration = std::time::Duration::from_secs(10);

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
    over_since: Option<Instant>,
    /// Instances that leave their worker, with their successor and since when.
    moves: BTreeMap<u32, (u32, Instant)>,
}

impl Job {
    pub(crate) fn new(versioned: Versioned, data_centre: DataCentreId) -> Job {
        Job {
            versioned,
            tasks: BTreeMap::new(),
            failures: Failures::default(),
            data_centre,
            waiting: BTreeSet::new(),
            over_since: None,
            moves: BTreeMap::new(),
        }
    }

    /// What was asked for.
    pub fn workload(&self) -> &Workload {
        &self.versioned.record.workload
    }

    /// Tasks that this data centre should run.
    pub fn wanted(&self) -> u32 {
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
    pub(crate) fn set(&mut self, index: u32, phase: Phase, now: Instant) {
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

    fn add(&mut self, index: u32, phase: Phase, now: Instant) {
        self.tasks.entry(index).or_insert_with(|| Task::new(phase.clone(), now));
        self.set(index, phase, now);
    }

    fn drop_task(&mut self, index: u32) {
        self.waiting.remove(&index);
        self.tasks.remove(&index);
        self.moves.remove(&index);
    }

    /// Marks tasks that finished in an earlier epoch.
    pub(crate) fn restore(&mut self, progress: &Progress, now: Instant) {
        if progress.life != self.versioned.record.life {
            return;
        }
        for index in progress.positions() {
            self.add(index, Phase::Finished, now);
        }
    }

    /// Makes the tasks match what is wanted: adds missing ones in `phase`, drops surplus ones that don't live.
    pub(crate) fn resize(&mut self, phase: Phase, now: Instant) {
        let wanted = self.wanted();
        if self.workload().kind != Kind::Service {
            self.resize_run(wanted, phase, now);
            return;
        }
        self.drop_idle_surplus(wanted);
        let mut index = 0;
        while self.staying() < wanted {
            if !self.tasks.contains_key(&index) {
                self.add(index, phase.clone(), now);
            }
            index += 1;
        }
    }

    fn resize_run(&mut self, wanted: u32, phase: Phase, now: Instant) {
        let last = self.tasks.keys().next_back().map_or(0, |last| last + 1);
        if last == wanted && self.tasks.len() == wanted as usize {
            // Just the wanted ones: this is asked after each order and end of a run with thousands of tasks.
            return;
        }
        for index in 0..wanted {
            if !self.tasks.contains_key(&index) {
                self.add(index, phase.clone(), now);
            }
        }
        let surplus: Vec<u32> = self.tasks.range(wanted..).map(|(index, _)| *index).collect();
        for index in surplus {
            if !self.tasks[&index].may_live() {
                self.drop_task(index);
            }
        }
    }

    /// Instances that are not about to be replaced by a successor.
    fn staying(&self) -> u32 {
        (self.tasks.len() - self.moves.len()) as u32
    }

    fn drop_idle_surplus(&mut self, wanted: u32) {
        let idle: Vec<u32> =
            self.tasks.iter().rev().filter(|(_, task)| !task.may_live()).map(|(index, _)| *index).collect();
        for index in idle {
            if self.staying() <= wanted {
                return;
            }
            self.drop_task(index);
        }
    }

    /// Takes in where an attempt was found. Returns false when it is an older attempt than the known one.
    pub(crate) fn found(&mut self, index: u32, attempt: Attempt, phase: Phase, now: Instant) -> bool {
        if !self.tasks.contains_key(&index) {
            self.add(index, Phase::Unknown, now);
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
            (phase, _) => self.set(index, phase, now),
        }
        true
    }

    /// Takes in that the latest attempt at a task has surely ended. Tells whether the workload got parked.
    pub(crate) fn ended(&mut self, index: u32, end: &End, on_probation: bool, workers: usize, now: Instant) -> bool {
        let Some(task) = self.tasks.get(&index) else { return false };
        let worker = task.worker().cloned();
        let healthy =
            matches!(&task.phase, Phase::Running { since, .. } if now.duration_since(*since) >= HEALTHY_AFTER);
        let service = self.workload().kind == Kind::Service;
        let mut parked = false;
        match end {
            End::Finished if !service => {
                self.failures.succeeded();
                self.set(index, Phase::Finished, now);
            }
            End::Failed { message } => {
                if healthy {
                    self.failures.succeeded();
                }
                let worker = worker.as_deref().unwrap_or("an unknown worker");
                parked = self.failures.failed(worker, message, on_probation, workers, now);
                self.set(index, Phase::Waiting, now);
            }
            End::Finished | End::Stopped | End::Lost | End::Restarted => self.set(index, Phase::Waiting, now),
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
    pub(crate) fn worker_lost(&mut self, index: u32, worker: &str, now: Instant, workers: usize) -> bool {
        let new = match self.tasks.get(&index).map(|task| &task.phase) {
            Some(Phase::Starting { .. }) => true,
            Some(Phase::Running { since, .. }) => now.duration_since(*since) < HEALTHY_AFTER,
            _ => false,
        };
        new && self.failures.worker_lost(worker, workers, now)
    }

    /// Drops the task when it is surplus or has been replaced by its successor.
    fn after_end(&mut self, index: u32, now: Instant) {
        let live = self.tasks.get(&index).is_some_and(Task::may_live);
        if self.moves.contains_key(&index) && !live {
            self.drop_task(index);
        }
        self.resize(Phase::Waiting, now);
    }

    /// Whether tasks may be started now.
    pub fn verdict(&self, now: Instant) -> Verdict {
        self.failures.verdict(now)
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
    pub(crate) fn unwanted(&self, now: Instant) -> Vec<StopOrder> {
        let mut orders: BTreeMap<u32, StopOrder> = BTreeMap::new();
        for index in self.surplus() {
            orders.extend(self.stop_order(index).map(|order| (index, order)));
        }
        for (old, (new, since)) in &self.moves {
            let successor = self.tasks.get(new).map(|task| &task.phase);
            let succeeded = matches!(successor, Some(Phase::Running { .. }));
            if succeeded || now.duration_since(*since) >= MOVE_WITHIN {
                orders.extend(self.stop_order(*old).map(|order| (*old, order)));
            }
        }
        if self.broken_gang() {
            for index in self.tasks.keys() {
                orders.extend(self.stop_order(*index).map(|order| (*index, order)));
            }
        }
        orders.into_values().collect()
    }

    fn surplus(&self) -> Vec<u32> {
        let wanted = self.wanted();
        if wanted == 0 {
            return self.tasks.keys().copied().collect();
        }
        if self.workload().kind != Kind::Service {
            return self.tasks.range(wanted..).map(|(index, _)| *index).collect();
        }
        let over = self.staying().saturating_sub(wanted) as usize;
        let staying = self.tasks.keys().rev().filter(|index| !self.moves.contains_key(index));
        staying.take(over).copied().collect()
    }

    fn broken_gang(&self) -> bool {
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
            if self.moves.contains_key(&index) || self.staying() > self.wanted() {
                continue;
            }
            let successor = self.tasks.keys().next_back().map_or(0, |last| last + 1);
            self.moves.insert(index, (successor, now));
            self.add(successor, Phase::Waiting, now);
        }
        Vec::new()
    }

    /// Whether nothing lives and nothing is left to run.
    pub fn over(&self) -> bool {
        let done = self.tasks.values().all(|task| task.phase == Phase::Finished);
        done && (self.cancelled() || self.workload().kind != Kind::Service)
    }

    /// Whether it has been over for so long. Looks at the clock, so it must be asked from time to time.
    pub(crate) fn expired(&mut self, keep: std::time::Duration, now: Instant) -> bool {
        if !self.over() {
            self.over_since = None;
            return false;
        }
        let since = *self.over_since.get_or_insert(now);
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
            Phase::Waiting => match self.verdict(now) {
                Verdict::Ready => task.reason.clone(),
                Verdict::Pause(reason) | Verdict::Parked(reason) => reason,
            },
            Phase::Ordered { worker, .. } | Phase::Starting { worker } => Reason::Starting { worker: worker.clone() },
            Phase::Running { worker, .. } => Reason::Running { worker: worker.clone() },
            Phase::Stopping { .. } if self.cancelled() => Reason::Cancelled,
            Phase::Stopping { .. } => Reason::Preempted,
            Phase::Finished => Reason::Finished,
        }
    }
}
