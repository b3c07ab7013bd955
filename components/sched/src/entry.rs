//! Jobs in the book: which tasks wait, where the others are, and what was kept of their runs.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use work::{Attempt, Job, Outcome, QueueName, Step, Task, Unit, WorkerId};

use crate::advice::UnitAdvice;
use crate::crashes::Crash;
use crate::preempt::Claim;
use crate::quota::WorkspaceIndex;

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
    /// Workers that ended under it.
    pub crashes: Vec<Crash>,
    /// Silent workers that may have ended under it; see [`crate::crashes`].
    pub silent: usize,
    /// Where an earlier leader placed it last: it may run there until the opposite is known.
    pub inherited: Option<Inherited>,
    /// Where earlier leaders placed it before that, while the log is read.
    pub placed_before: Vec<Inherited>,
}

/// A run that an earlier leader ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Inherited {
    pub worker: WorkerId,
    /// 0 where an earlier format didn't tell.
    pub attempt: Attempt,
}

/// Where a run is, or may be.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub worker: WorkerId,
    pub task: Task,
    pub attempt: Attempt,
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
    pub advice: UnitAdvice,
    /// Room that is being made for it.
    pub claims: Vec<Claim>,
    /// While many units wait, places for it aren't looked for before this time.
    pub retry_at: Duration,
    /// Until when places for suspects are looked for apart from others; `None` without suspects.
    pub isolated_until: Option<Duration>,
    /// Room for all of a gang isn't put together before this time; see [`crate::assemble`].
    pub assemble_at: Duration,
}

impl UnitState {
    pub(crate) fn new(step: &Step) -> UnitState {
        let count = step.count as usize;
        let task = TaskState {
            phase: Phase::Pending,
            failed: Vec::new(),
            starts: 0,
            saved: String::new(),
            crashes: Vec::new(),
            silent: 0,
            inherited: None,
            placed_before: Vec::new(),
        };
        UnitState {
            tasks: vec![task; count],
            pending: count,
            done: 0,
            failed: Vec::new(),
            starts: 0,
            saved: String::new(),
            advice: UnitAdvice::default(),
            claims: Vec::new(),
            retry_at: Duration::ZERO,
            isolated_until: None,
            assemble_at: Duration::ZERO,
        }
    }

    /// Whether all its tasks are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Tasks that are done once the task `index` is: all members of a gang, else that task alone.
    pub(crate) fn done_with(&self, index: u32, gang: bool) -> Range<usize> {
        let index = index as usize;
        if gang { 0..self.tasks.len() } else { index..index + 1 }
    }

    /// Failed runs that count against the task `index`: a gang counts them together. `None` without such a task.
    pub(crate) fn failures_mut(&mut self, index: u32, gang: bool) -> Option<&mut Vec<Attempt>> {
        let task = self.tasks.get_mut(index as usize)?;
        Some(if gang { &mut self.failed } else { &mut task.failed })
    }

    /// All its runs that are, or may be, on workers. `unit` is its name.
    pub(crate) fn placements(&self, unit: Unit) -> impl Iterator<Item = Placement> + '_ {
        self.tasks.iter().zip(0..).filter_map(move |(task, index)| match &task.phase {
            Phase::Held(worker, attempt) => {
                Some(Placement { worker: worker.clone(), task: Task { unit, index }, attempt: *attempt })
            }
            Phase::Pending | Phase::Done => None,
        })
    }

    /// Moves a task to another phase, keeping the counts.
    pub(crate) fn set_phase(&mut self, index: usize, phase: Phase) {
        let Some(task) = self.tasks.get_mut(index) else { return };
        task.inherited = None;
        self.retry_at = Duration::ZERO;
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
    /// Whose it is; none where its queue was public.
    pub workspace: Option<WorkspaceIndex>,
    pub job: Arc<Job>,
    /// When it was accepted, on this process's steady clock; earlier leaders' jobs may lie before its start.
    pub accepted: Accepted,
    /// Whether a task of it has begun.
    pub begun: Begun,
    pub outcome: Option<Ended>,
    /// Units that have been opened, by round and step.
    pub units: BTreeMap<(u32, u16), UnitState>,
    /// Rounds opened so far.
    pub opened: u32,
}

/// What is known of whether a task of a job has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Begun {
    /// None has.
    No,
    /// An earlier leader has placed some: they may have begun where nobody has answered yet.
    Placed,
    /// One has.
    Yes,
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

    /// Opens a round: its tasks wait from now on.
    pub(crate) fn open(&mut self, round: u32) {
        let units = self.job.steps.iter().zip(0..);
        self.units.extend(units.map(|(step, number)| ((round, number), UnitState::new(step))));
        self.opened = round + 1;
    }

    /// Whether all steps that `step` waits for are done in `round`.
    pub(crate) fn unblocked(&self, round: u32, step: u16) -> bool {
        let Some(described) = self.step(step) else { return false };
        described.after.iter().all(|on| self.units.get(&(round, *on)).is_some_and(UnitState::is_complete))
    }

    /// Gives back the memory of what only a job that goes on needs: most jobs in the book have ended.
    pub(crate) fn release_memory(&mut self) {
        Arc::make_mut(&mut self.job).specification = String::new();
        self.units.values_mut().for_each(|unit| unit.advice = UnitAdvice::default());
    }

    /// Whether every task of every round is done. Lasting tasks never are.
    pub(crate) fn is_complete(&self) -> bool {
        self.opened == self.job.rounds() && self.units.values().all(UnitState::is_complete)
    }
}
