//! Jobs in the book: which tasks wait, where the others are, and what was kept of their runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use work::{Attempt, Job, Outcome, QueueName, Step, WorkerId};

use crate::advice::Known;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a place.
    Pending,
    /// A run of it is, or may be, on a worker.
    Held(WorkerId, Attempt),
    /// It is done.
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub phase: Phase,
    /// Runs that failed.
    pub failed: Vec<Attempt>,
    /// Starts in this reign.
    pub starts: u64,
    /// Last checkpoint; empty for none.
    pub saved: String,
    /// Worker on which an earlier leader placed it last: it may run there until the opposite is known.
    pub inherited: Option<WorkerId>,
}

/// All tasks of a step in one round.
#[derive(Clone, Debug)]
pub(crate) struct UnitState {
    pub tasks: Vec<TaskState>,
    /// Tasks that wait for a place.
    pub pending: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Runs of a gang that failed.
    pub failed: Vec<Attempt>,
    /// Starts of a gang in this reign.
    pub starts: u64,
    /// A gang's last checkpoint.
    pub saved: String,
    /// Who may run it.
    pub known: Known,
}

impl UnitState {
    pub(crate) fn new(step: &Step) -> UnitState {
        let count = step.count as usize;
        let task =
            TaskState { phase: Phase::Pending, failed: Vec::new(), starts: 0, saved: String::new(), inherited: None };
        UnitState {
            tasks: vec![task; count],
            pending: count,
            done: 0,
            failed: Vec::new(),
            starts: 0,
            saved: String::new(),
            known: Known::default(),
        }
    }

    /// Whether all its tasks are done.
    pub(crate) fn complete(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Moves a task to another phase, keeping the counts.
    pub(crate) fn set(&mut self, index: usize, phase: Phase) {
        let Some(task) = self.tasks.get_mut(index) else { return };
        task.inherited = None;
        let was = std::mem::replace(&mut task.phase, phase);
        match was {
            Phase::Pending => self.pending -= 1,
            Phase::Done => self.done -= 1,
            Phase::Held(..) => {}
        }
        match self.tasks[index].phase {
            Phase::Pending => self.pending += 1,
            Phase::Done => self.done += 1,
            Phase::Held(..) => {}
        }
    }
}

/// A job that has been accepted.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub queue: QueueName,
    pub job: Arc<Job>,
    /// When it was accepted, on this process's steady clock; earlier leaders' jobs may lie before its start.
    pub accepted: Accepted,
    /// Whether a task of it has begun.
    pub begun: bool,
    pub outcome: Option<Ended>,
    /// Units that have been opened, by round and step.
    pub units: BTreeMap<(u32, u16), UnitState>,
    /// Rounds opened so far.
    pub opened: u32,
}

/// When a job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    /// By the steady clock of this process.
    pub now: Duration,
    /// Since 1970, by the accepting host's clock.
    pub wall: Duration,
    /// Position of its record: it runs once that is durable.
    pub position: u64,
}

/// A job's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    pub outcome: Outcome,
    /// Position of its record: it is shown once that is durable.
    pub position: u64,
    pub at: Duration,
}

impl Entry {
    pub(crate) fn step(&self, step: u16) -> Option<&Step> {
        self.job.steps.get(usize::from(step))
    }

    /// Whether all steps that `step` waits for are done in `round`.
    pub(crate) fn unblocked(&self, round: u32, step: u16) -> bool {
        let Some(described) = self.step(step) else { return false };
        described.after.iter().all(|on| self.units.get(&(round, *on)).is_some_and(UnitState::complete))
    }

    /// Gives back the memory of what only a job that goes on needs: most jobs in the book have ended.
    pub(crate) fn forget_work(&mut self) {
        Arc::make_mut(&mut self.job).specification = String::new();
        self.units.values_mut().for_each(|unit| unit.known = Known::default());
    }

    /// Whether every task of every round is done. Lasting tasks never are.
    pub(crate) fn complete(&self) -> bool {
        self.opened == self.job.rounds() && self.units.values().all(UnitState::complete)
    }
}
