//! Types shared by everything that handles jobs: queues, workspaces, jobs with their steps and tasks, and the log records that
//! persist them.

pub mod bounded;
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
