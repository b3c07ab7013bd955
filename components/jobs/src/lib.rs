//! The tasks of one partition, as its owner follows them: which wait, which run where, which have ended, and
//! what must be started, stopped or acknowledged next.
//!
//! Pure: records, facts and time go in; orders and reasons come out. A next attempt is numbered only when the
//! last one has surely ended.

mod book;
mod failure;
mod job;
mod task;

pub use book::{Book, Claimant, Note};
pub use failure::{Failures, PARK_AFTER, Verdict};
pub use job::Job;
pub use task::{Phase, Task};
