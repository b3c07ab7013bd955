//! Records of the append-only log that persists jobs in the store.

use std::time::Duration;

use model::Resources;
use serde::{Deserialize, Serialize};

use crate::{Attempt, Job, JobId, QueueName, Task, WorkerId, WorkspaceName};

/// State of a job as shown to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    Ended(Outcome),
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task exhausted its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// How strongly the loss of a worker suggests that a task running there caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Evidence {
    /// The task had just started, and no task of another job had.
    Sole,
    /// The task had just started, as had tasks of other jobs.
    Shared,
    /// The task had been running for a while, or too little is known.
    Weak,
    /// The task had been running for so long that earlier evidence against it no longer counts.
    Cleared,
}

impl Evidence {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Sole => "sole",
            Evidence::Shared => "shared",
            Evidence::Weak => "weak",
            Evidence::Cleared => "cleared",
        }
    }
}

/// Upper bound on the encoded size of [`Record::Accepted`] without its names and its job, including the tag of
/// [`Record::Rewritten`], in bytes.
const MAX_ACCEPTED_OVERHEAD: usize = 64;

impl Record {
    /// Returns the job if this record is needed to know that it exists or that it has ended.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Record::Accepted { id, .. } | Record::Ended { id, .. } => Some(*id),
            Record::Rewritten(record) => record.job(),
            _ => None,
        }
    }

    /// Returns the worker if this record is needed to know that it exists.
    pub fn worker(&self) -> Option<&WorkerId> {
        match self {
            Record::Worker { id, .. } => Some(id),
            Record::Rewritten(record) => record.worker(),
            _ => None,
        }
    }

    /// Returns the job whose task this record starts.
    pub fn placed_job(&self) -> Option<JobId> {
        match self {
            Record::Placed { task, .. } => Some(task.unit.job),
            Record::Rewritten(record) => record.placed_job(),
            _ => None,
        }
    }

    /// Returns the size of the record in the log, in bytes.
    pub fn encoded_size(&self) -> usize {
        encoded_size(self)
    }

    /// Returns an upper bound on the size of the record of a job's acceptance, also when it is rewritten, in bytes.
    pub fn max_accepted_size(queue: &str, workspace: Option<&str>, job: &Job) -> usize {
        MAX_ACCEPTED_OVERHEAD + queue.len() + workspace.map_or(0, str::len) + encoded_size(job)
    }
}

/// Returns the encoded size of a value, in bytes. A value that can't be encoded is larger than any limit.
fn encoded_size(value: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or(usize::MAX)
}

/// One change of the persistent state. Replaying a record is idempotent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    Accepted {
        id: JobId,
        queue: QueueName,
        /// Workspace that submitted the job; none for a call without a key to a public queue.
        workspace: Option<WorkspaceName>,
        /// Time of acceptance since 1970, by the accepting host's clock. Used to compute ages and shares of workspaces.
        at: Duration,
        job: Job,
    },
    /// A task was placed on a worker. The start order is sent only after this record is committed, so that the next leader knows
    /// which worker to ask.
    Placed { task: Task, attempt: Attempt, worker: WorkerId },
    /// A task is done.
    Done { task: Task },
    /// A run of a task failed.
    Failed { task: Task, attempt: Attempt },
    /// A worker may receive orders from now on.
    Worker {
        id: WorkerId,
        /// Address to which orders are sent.
        address: String,
    },
    /// Nothing runs on this worker any more, and nothing ever will.
    Gone { id: WorkerId },
    /// Copy of an earlier record whose part of the log is being removed.
    Rewritten(Box<Record>),
    /// A job has ended.
    Ended {
        id: JobId,
        outcome: Outcome,
        /// Workspace that submitted the job. Only that workspace may query the job, and the record of its acceptance may already
        /// have been removed.
        workspace: Option<WorkspaceName>,
    },
    /// Like [`Record::RunLost`] without the attempt. No longer written, but still read from logs in an earlier format.
    Crashed { task: Task, worker: WorkerId, evidence: Evidence },
    /// A run was lost together with its worker.
    RunLost {
        task: Task,
        /// Attempt of the lost run, which distinguishes several losses of the same worker.
        attempt: Attempt,
        worker: WorkerId,
        evidence: Evidence,
    },
    /// An abandoned run that may still be running on an unresponsive worker. It counts against its workspace's limit.
    Leftover { task: Task, attempt: Attempt, worker: WorkerId, workspace: WorkspaceName, need: Resources },
}
