//! Where a task goes: pure decisions over the workers of one data centre.
//!
//! No clock, no sockets, no locks: the same inputs give the same answer, so that recorded traces replay
//! through these functions to stated outcomes.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod choose;
mod order;
mod preempt;
mod refusals;
mod worker_table;

pub use choose::{Choice, Demand, Policy, Siblings, choose, choose_gang, never_fits};
pub use order::{Rank, Usage, WaitingWork, order};
pub use preempt::{Candidate, Preemption, Victim, preempt};
pub use refusals::Refusals;
pub use worker_table::{Worker, WorkerIndex, WorkerTable};
