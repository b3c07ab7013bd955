//! Decisions about callers' requests: their class, whether they are admitted, which instance they go to, whether they
//! may be retried, and whether a non-idempotent request may run on this host.
//!
//! Pure functions and state machines: time and randomness are passed in, so that recorded traces can be replayed with
//! a known result.

mod class;
mod keys;
mod ownership;
mod pool;
mod queue;
mod retry;

pub use class::{ClassIndex, Classes};
pub use keys::{BeginOutcome, IdempotencyKey, IdempotencyStore, KeyError};
pub use ownership::{KeyOwnership, KeyStatus};
pub use pool::{Instance, Pool, TakenSlot, slot_share};
pub use queue::{Admission, Capacity, Queue, Refusal, RefusalReason, SlotRequest, Ticket};
pub use retry::RetryBudget;
