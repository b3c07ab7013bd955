//! The tasks of one partition, as its owner follows them: which wait, which run where, which have ended, and
//! what must be started, stopped or acknowledged next.
//!
//! Pure: records, facts and time go in; orders and reasons come out. A next attempt is numbered only when the
//! last one has surely ended.

mod failures;
mod job;
mod task;
mod tracker;

pub use failures::{Failures, PARK_AFTER, RetryState};
pub use job::Job;
pub use task::{Phase, Task};
pub use tracker::{JobEvent, JobTracker, PendingJob};
