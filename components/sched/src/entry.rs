//! State of jobs: which tasks are pending, where the others run, and their failed runs and checkpoints.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use work::{Attempt, Job, Outcome, QueueName, Step, Task, Unit, WorkerId};

use crate::advice::UnitAdvice;
use crate::crashes::Crash;
use crate::preempt::Claim;
use crate::quota::WorkspaceIndex;
use crate::ranking::Obstacle;
use crate::share;

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a worker.
    Pending,
    /// A run of it is, or may be, on a worker.
    Held(WorkerId, Attempt),
    Done,
}

#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub phase: Phase,
    /// Runs that failed.
    pub failed: Vec<Attempt>,
    /// Number of starts in this term.
    pub starts: u64,
    /// Last checkpoint; empty for none.
    pub checkpoint: String,
    /// Worker ends that are attributed to the task.
    pub crashes: Vec<Crash>,
    /// Number of silent workers that may have ended because of the task; see [`crate::crashes`].
    pub silent: usize,
    /// The last placement by an earlier leader. The task may still run there until the worker has answered.
    pub inherited: Option<Inherited>,
    /// Earlier placements by earlier leaders; filled only while the log is replayed.
    pub placed_before: Vec<Inherited>,
}

/// A run that an earlier leader ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Inherited {
    pub worker: WorkerId,
    /// 0 if the record was written in an older format, which lacks the number.
    pub attempt: Attempt,
}

/// A run that is, or may be, on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub worker: WorkerId,
    pub task: Task,
    pub attempt: Attempt,
}

/// All tasks of a step in one round.
#[derive(Clone, Debug)]
pub(crate) struct UnitState {
    /// Empty once their memory is released.
    pub tasks: Vec<TaskState>,
    /// Number of tasks.
    pub count: usize,
    /// Number of tasks that wait for a worker.
    pub pending: usize,
    /// Number of tasks that are done.
    pub done: usize,
    /// Failed runs of a gang.
    pub failed: Vec<Attempt>,
    /// Number of starts of a gang in this term.
    pub starts: u64,
    /// Last checkpoint of a gang.
    pub checkpoint: String,
    /// What the advice service said about the workers that may run it.
    pub advice: UnitAdvice,
    /// Room that is being freed for it.
    pub claims: Vec<Claim>,
    /// While many units wait, this one is examined again at this time, or once it may start.
    pub retry_at: Duration,
    /// When it was last examined since one of its tasks changed its phase.
    pub examined_at: Option<Duration>,
    /// What kept it from starting when it was last examined.
    pub obstacle: Obstacle,
    /// Until when suspect tasks are only placed apart from other new runs; `None` without suspects.
    pub isolated_until: Option<Duration>,
    /// Room for the whole gang isn't assembled again before this time; see [`crate::assemble`].
    pub assemble_at: Duration,
}

impl UnitState {
    pub(crate) fn new(step: &Step) -> UnitState {
        let count = step.count as usize;
        let task = TaskState {
            phase: Phase::Pending,
            failed: Vec::new(),
            starts: 0,
            checkpoint: String::new(),
            crashes: Vec::new(),
            silent: 0,
            inherited: None,
            placed_before: Vec::new(),
        };
        UnitState {
            tasks: vec![task; count],
            count,
            pending: count,
            done: 0,
            failed: Vec::new(),
            starts: 0,
            checkpoint: String::new(),
            advice: UnitAdvice::default(),
            claims: Vec::new(),
            retry_at: Duration::ZERO,
            examined_at: None,
            obstacle: Obstacle::Room,
            isolated_until: None,
            assemble_at: Duration::ZERO,
        }
    }

    /// Whether all tasks are done.
    pub(crate) fn is_complete(&self) -> bool {
        self.done == self.count
    }

    /// Whether something of the unit is, or may be, on a worker.
    fn is_on_workers(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.phase, Phase::Held(..)) || task.inherited.is_some())
    }

    /// Whether the states of the tasks are released; all of them are done.
    pub(crate) fn is_released(&self) -> bool {
        self.tasks.is_empty() && self.count > 0
    }

    /// Indices of the tasks that are done when the task `index` is: the whole gang, or only the task itself.
    pub(crate) fn done_with(&self, index: u32, gang: bool) -> Range<usize> {
        let index = index as usize;
        if gang { 0..self.tasks.len() } else { index..index + 1 }
    }

    /// Failed runs that count against the task `index`; a gang counts them together. `None` if there is no such task.
    pub(crate) fn failures_mut(&mut self, index: u32, gang: bool) -> Option<&mut Vec<Attempt>> {
        let task = self.tasks.get_mut(index as usize)?;
        Some(if gang { &mut self.failed } else { &mut task.failed })
    }

    /// All runs of the unit that are, or may be, on workers.
    pub(crate) fn placements(&self, unit: Unit) -> impl Iterator<Item = Placement> + '_ {
        self.tasks.iter().zip(0..).filter_map(move |(task, index)| match &task.phase {
            Phase::Held(worker, attempt) => {
                Some(Placement { worker: worker.clone(), task: Task { unit, index }, attempt: *attempt })
            }
            Phase::Pending | Phase::Done => None,
        })
    }

    /// Moves a task to another phase and updates the counts.
    pub(crate) fn set_phase(&mut self, index: usize, phase: Phase) {
        let Some(task) = self.tasks.get_mut(index) else { return };
        task.inherited = None;
        self.retry_at = Duration::ZERO;
        self.examined_at = None;
        self.obstacle = Obstacle::Room;
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

/// An accepted job.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub queue: QueueName,
    /// `None` if its queue was public.
    pub workspace: Option<WorkspaceIndex>,
    pub job: Arc<Job>,
    /// Time of acceptance; for jobs that earlier leaders accepted it may precede the start of this process.
    pub accepted: Accepted,
    /// Whether it is within its workspace's share.
    pub class: share::Class,
    /// Whether a task of the job has started.
    pub started: StartState,
    pub outcome: Option<Ended>,
    /// Units of the rounds that have been opened, by round and step.
    pub units: BTreeMap<(u32, u16), UnitState>,
    /// Number of rounds that have been opened.
    pub opened: u32,
    /// Whether it changed since the last planning pass; see [`crate::jobs`].
    pub changed: bool,
    /// Memory that it is charged for, in bytes.
    pub memory: usize,
}

/// What is known of whether a task of a job has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StartState {
    /// No task has started.
    No,
    /// An earlier leader placed tasks, which may have started on workers that haven't answered yet.
    Placed,
    /// At least one task has started.
    Yes,
}

/// Time of a job's acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Accepted {
    /// Monotonic time of this process.
    pub now: Duration,
    /// Time since 1970, by the clock of the accepting host.
    pub wall: Duration,
    /// Position of the record. The job runs once it is durable.
    pub position: u64,
}

/// End of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ended {
    pub outcome: Outcome,
    /// Position of the record. The end is visible to callers once it is durable.
    pub position: u64,
    pub at: Duration,
}

impl Entry {
    pub(crate) fn step(&self, step: u16) -> Option<&Step> {
        self.job.steps.get(usize::from(step))
    }

    /// Opens a round: its tasks are pending from now on.
    pub(crate) fn open(&mut self, round: u32) {
        let units = self.job.steps.iter().zip(0..);
        self.units.extend(units.map(|(step, number)| ((round, number), UnitState::new(step))));
        self.opened = round + 1;
    }

    /// Whether all steps that `step` depends on are done in `round`.
    pub(crate) fn unblocked(&self, round: u32, step: u16) -> bool {
        let Some(described) = self.step(step) else { return false };
        described.after.iter().all(|on| self.units.get(&(round, *on)).is_some_and(UnitState::is_complete))
    }

    /// Frees the memory that only an unfinished job needs: most known jobs have ended.
    pub(crate) fn release_memory(&mut self) {
        Arc::make_mut(&mut self.job).specification = String::new();
        self.units.values_mut().for_each(|unit| unit.advice = UnitAdvice::default());
    }

    /// Frees the memory of the tasks of complete units, which a job of many rounds would otherwise collect.
    pub(crate) fn release_complete_units(&mut self) {
        let complete = self.units.values_mut().filter(|unit| unit.is_complete() && !unit.is_on_workers());
        complete.for_each(|unit| {
            unit.tasks = Vec::new();
            unit.failed = Vec::new();
        });
    }

    /// Frees what is left of a job that has ended, once nothing of it is on a worker. Returns whether that is so.
    pub(crate) fn release_ended(&mut self) -> bool {
        if self.units.values().any(UnitState::is_on_workers) {
            return false;
        }
        self.units = BTreeMap::new();
        let job = Arc::make_mut(&mut self.job);
        for step in &mut job.steps {
            (step.label, step.rack, step.image) = (String::new(), String::new(), String::new());
        }
        true
    }

    /// Whether every task of every round is done, which is never the case for long-running tasks.
    pub(crate) fn is_complete(&self) -> bool {
        self.opened == self.job.rounds() && self.units.values().all(UnitState::is_complete)
    }
}
