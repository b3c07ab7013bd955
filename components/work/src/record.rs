//! What is kept of jobs in the store: an append-only log of records.

use std::time::Duration;

use model::Resources;
use serde::{Deserialize, Serialize};

use crate::{Attempt, Job, JobId, QueueName, Task, WorkerId, WorkspaceName};

/// State of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// None of its tasks has begun.
    Queued,
    /// At least one task has begun.
    Running,
    /// It has ended.
    Ended(Outcome),
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// All its tasks are done.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// What the end of a worker says against a task that was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Evidence {
    /// It had just begun, and no task of another job had.
    Sole,
    /// It had just begun, as had others.
    Shared,
    /// It had been at work for a while, or little is known.
    Weak,
    /// It had served for long: what was held against it before doesn't count any more.
    Cleared,
}

impl Evidence {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Sole => "sole",
            Evidence::Shared => "shared",
            Evidence::Weak => "weak",
            Evidence::Cleared => "cleared",
        }
    }
}

/// Weight of a small record, in bytes.
const SMALL: usize = 40;

impl Record {
    /// The job that needs this record to be known, or to be known as ended.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Record::Accepted { id, .. } | Record::Ended { id, .. } => Some(*id),
            Record::Rewritten(record) => record.job(),
            _ => None,
        }
    }

    /// The worker that needs this record to be known.
    pub fn worker(&self) -> Option<&WorkerId> {
        match self {
            Record::Worker { id, .. } => Some(id),
            Record::Rewritten(record) => record.worker(),
            _ => None,
        }
    }

    /// The job of which it records a start.
    pub fn placed_job(&self) -> Option<JobId> {
        match self {
            Record::Placed { task, .. } => Some(task.unit.job),
            Record::Rewritten(record) => record.placed_job(),
            _ => None,
        }
    }

    /// Roughly its size in the log, in bytes.
    pub fn approximate_size(&self) -> usize {
        match self {
            Record::Accepted { job, .. } => job.specification.len() + (1 + job.steps.len()) * SMALL,
            Record::Rewritten(record) => record.approximate_size(),
            _ => SMALL,
        }
    }
}

/// One change of what must last. Replaying a record twice changes nothing more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Accepted {
        /// Its id.
        id: JobId,
        /// Its queue.
        queue: QueueName,
        /// Whose it is; none where the queue was public.
        workspace: Option<WorkspaceName>,
        /// When, since 1970, by the accepting host's clock. For ages only.
        at: Duration,
        /// The job.
        job: Job,
    },
    /// A start was decided; it is sent once this is kept, so that the next leader knows where to look.
    Placed {
        /// The task.
        task: Task,
        /// The run.
        attempt: Attempt,
        /// The worker.
        worker: WorkerId,
    },
    /// A task is done.
    Done {
        /// The task.
        task: Task,
    },
    /// A run of a task has failed.
    Failed {
        /// The task.
        task: Task,
        /// The run.
        attempt: Attempt,
    },
    /// A worker may get orders from now on.
    Worker {
        /// The worker.
        id: WorkerId,
        /// Where it takes orders.
        address: String,
    },
    /// Nothing runs on a worker any more, and nothing ever will.
    Gone {
        /// The worker.
        id: WorkerId,
    },
    /// An earlier record, written anew since its part of the log is removed.
    Rewritten(Box<Record>),
    /// A job has ended.
    Ended {
        /// The job.
        id: JobId,
        /// How.
        outcome: Outcome,
        /// Whose it is, since only they may ask; the record of its acceptance may be gone.
        workspace: Option<WorkspaceName>,
    },
    /// As [`Record::RunLost`] without the run: what an earlier format wrote, still read.
    Crashed {
        /// The task.
        task: Task,
        /// The worker.
        worker: WorkerId,
        /// What that says against the task.
        evidence: Evidence,
    },
    /// A run went with its worker.
    RunLost {
        /// The task.
        task: Task,
        /// The run; it tells the ends of one worker apart.
        attempt: Attempt,
        /// The worker.
        worker: WorkerId,
        /// What its end says against the task.
        evidence: Evidence,
    },
    /// A run that its task doesn't wait for may go on on a silent worker. It counts against its workspace's limit.
    Leftover {
        /// The task.
        task: Task,
        /// The run.
        attempt: Attempt,
        /// The worker.
        worker: WorkerId,
        /// Whose it is.
        workspace: WorkspaceName,
        /// What it takes.
        need: Resources,
    },
}
