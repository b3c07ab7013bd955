//! The operators' HTTP interface for jobs: submits, explains and cancels jobs, and shows queues, workspaces, the leader
//! and the metrics.

mod server;
mod types;

pub use server::{Console, Server, description, start};
pub use types::{Host, Job, Queue, Step, Submission, Workspace};
