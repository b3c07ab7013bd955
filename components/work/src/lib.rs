//! The vocabulary of callers' jobs: queues, workspaces, jobs with their steps and tasks, and the records that keep them.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod id;
mod incarnation;
mod job;
pub mod key;
pub mod log;
mod queue;
mod record;

pub use id::{
    Attempt, JobId, ParseTaskError, QueueName, Task, Term, Unit, WorkerId, WorkspaceName, format_job_id, parse_job_id,
};
pub use incarnation::WorkerIncarnation;
pub use job::{Job, JobError, Schedule, Step};
pub use queue::{Advice, Config, Queue, Workspace};
pub use record::{Evidence, Outcome, Record, State};
