//! The scheduler of callers' jobs: decisions without sockets and without a clock.
//!
//! Events go in with their time (reports of workers, outcomes of orders, accepted jobs, advice); orders, questions
//! and records for the log come out. Nothing here waits or fails: what can't be decided now stays as it is until the
//! next event.

mod advice;
mod assemble;
mod call_order;
mod cancel;
mod crashes;
mod engine;
mod entry;
mod explain;
mod handover;
mod headroom;
mod latency;
mod lease;
mod limits;
mod lost_runs;
mod order;
mod place;
mod preempt;
mod questions;
mod quota;
mod rank;
mod records;
mod reports;
mod restart;
mod restore;
mod room;
mod stall;
mod worker;
mod worker_list;

pub use advice::Ticket;
pub use engine::{Action, Clock, Engine, Owner, RENEWAL_INTERVAL, Start, Summary};
pub use explain::{Explanation, StepExplanation};
pub use latency::Latency;
pub use lease::Lease;
pub use limits::{AUTHORITY_TIMEOUT, Limits, lease};
pub use lost_runs::{EndedWorker, LostRun, WorkerEndReason};
pub use order::Outcome as OrderOutcome;
pub use preempt::Preemption;
pub use questions::Question;
pub use quota::{Excess, Workspace};
pub use stall::Stall;
pub use worker::{End, Report, RunOutcome, Running, WorkerInfo};
