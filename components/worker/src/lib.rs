//! The edge to workers: what is said over HTTP, and the client that says it.
//!
//! A worker is held by one entry host at a time. The hold has an epoch that the worker keeps and that only
//! grows; a command under a lower epoch is refused. A task runs under a lease, which the holder renews with
//! each batch; when it lapses, the worker ends the task itself. An ended task stays in the worker's report
//! until it is acknowledged.

mod client;
mod protocol;

pub use client::{Client, Worker, WorkerError};
pub use protocol::{AttemptReport, AttemptState, Batch, Command, Hold, Refusal, Report};
