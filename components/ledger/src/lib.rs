//! The only place that commits a worker's capacity: the ledger of the entry host that holds the worker.
//!
//! Pure: orders, reports and time go in; answers, commands for the worker and facts for the peers come out.
//! It counts the declared size of everything started, stopping or in doubt, and it is rebuilt from the
//! worker's own report before the first decision under a new epoch.

mod health;
mod ledger;
mod reservations;

pub use health::WorkerHealth;
pub use ledger::{CommitResult, DRAIN_DELAY, EndedAttempt, LeaseLimits, Ledger};
pub use reservations::Reservation;
