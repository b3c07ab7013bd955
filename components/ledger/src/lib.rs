//! Accounts for the capacity of one worker, on the entry host that holds the worker. Capacity is committed nowhere
//! else.
//!
//! This package does no I/O and never reads the clock. Callers pass in orders, reports and the current time, and get
//! answers, commands for the worker and facts for the peers back.
//!
//! The ledger counts the declared resources of every attempt that is starting, running, stopping or in doubt. Under a
//! new epoch it is rebuilt from the worker's own report before the first decision.

mod health;
mod ledger;
mod reservations;

pub use health::WorkerHealth;
pub use ledger::{CommitResult, DRAIN_DELAY, EndedAttempt, LeaseLimits, Ledger};
pub use reservations::Reservation;
