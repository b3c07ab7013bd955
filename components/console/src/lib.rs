//! The product's own interface for callers' jobs: submit, explain, cancel; queues, the leader, and the metrics.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod server;
mod types;

pub use server::{Console, Server, description, start};
pub use types::{Host, Job, Queue, Step, Submission, Workspace};
