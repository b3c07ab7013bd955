//! The scheduler of jobs: a deterministic state machine without I/O and without a clock.
//!
//! Inputs are events with their time (worker reports, outcomes of orders, accepted jobs, advice). Outputs are orders
//! to workers, questions to the advice service and records for the log. Nothing blocks or fails: a decision that
//! can't be made yet is tried again at the next event.

mod advice;
mod advice_order;
mod assemble;
mod call_order;
mod cancel;
mod crashes;
mod engine;
mod entry;
mod explain;
mod fill;
mod handover;
mod headroom;
mod inherited;
mod jobs;
mod latency;
mod lease;
mod limits;
mod load;
mod lost_runs;
mod memory;
mod order;
mod pace;
mod pass;
mod place;
mod preempt;
mod questions;
mod quota;
mod rank;
mod ranking;
mod records;
mod reports;
mod restart;
mod restore;
mod room;
mod selection;
pub mod share;
mod stall;
pub mod usage;
mod worker;
mod worker_list;
mod worker_set;

pub use advice::Ticket;
pub use advice_order::{Hosts, is_long};
pub use engine::{Action, Clock, Engine, Owner, RENEWAL_INTERVAL, Start, Summary};
pub use explain::{Explanation, StepExplanation};
pub use latency::Latency;
pub use lease::Lease;
pub use limits::{AUTHORITY_TIMEOUT, Limits, lease};
pub use lost_runs::{EndedWorker, LostRun, ReportedEnds, WorkerEndReason};
pub use memory::{job_memory, record_memory};
pub use order::Outcome as OrderOutcome;
pub use pace::{Budget, Pace};
pub use pass::{Part, Pass};
pub use preempt::Preemption;
pub use questions::Question;
pub use quota::{Excess, Workspace};
pub use stall::Stall;
pub use worker::{End, Report, RunOutcome, Running, WorkerInfo};
