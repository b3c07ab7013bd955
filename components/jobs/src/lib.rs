//! Tracks the tasks of one partition for the entry host that owns it: which tasks wait, where the others run,
//! and which attempts to start, stop or acknowledge next.
//!
//! This package does no I/O and never reads the clock. Callers pass in records, task facts and the current time,
//! and get start orders, stop orders and reasons back. A new attempt at a task is created only once the previous
//! attempt is known to have ended.

mod failure;
mod job;
mod task;
mod tracker;

pub use failure::{Failures, PARK_AFTER, RetryState};
pub use job::Job;
pub use task::{Phase, Task};
pub use tracker::{JobEvent, JobTracker, PendingJob};
