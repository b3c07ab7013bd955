//! The vocabulary of callers' jobs: queues, jobs with their steps and tasks, and the records that keep them.

mod id;
mod job;
pub mod log;
mod queue;
mod record;

pub use id::{Attempt, JobId, NotATask, QueueName, Task, Term, Unit, WorkerId, job_name, parse_job};
pub use job::{Fault, Job, Schedule, Step};
pub use queue::{Advice, Config, Queue};
pub use record::{Outcome, Record, State};
