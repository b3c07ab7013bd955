//! HTTP protocol of the workers, and a client for it.
//!
//! A worker is held by one entry host at a time. Each hold has an epoch that the worker stores and that only increases; a
//! command with a lower epoch is rejected. A task runs under a lease that the holder renews with each batch; when the
//! lease expires, the worker ends the task itself. An ended task remains in the worker's reports until it is
//! acknowledged.

mod client;
mod protocol;

pub use client::{Client, Worker, WorkerError};
pub use protocol::{AttemptReport, AttemptState, Batch, Command, Hold, Refusal, Report};
