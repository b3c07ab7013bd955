//! The vocabulary of callers' jobs: queues, workspaces, jobs with their steps and tasks, and the records that keep them.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod id;
mod job;
pub mod key;
mod life;
pub mod log;
mod queue;
mod record;

pub use id::{Attempt, JobId, NotATask, QueueName, Task, Term, Unit, WorkerId, WorkspaceName, job_name, parse_job};
pub use job::{Fault, Job, Schedule, Step};
pub use life::Life;
pub use queue::{Advice, Config, Queue, Workspace};
pub use record::{Evidence, Outcome, Record, State};
