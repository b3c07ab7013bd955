//! Placement of tasks on the workers of one data centre: the choice of workers, the order of waiting work and preemption.
//!
//! Pure functions without clock, sockets or locks: the same inputs give the same result, so that recorded traces can be
//! replayed with a known result.

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
