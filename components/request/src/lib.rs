//! The decisions about callers' requests: which class, admitted or refused, which instance, retried or not,
//! and whether an unrepeatable one may run here.
//!
//! Pure: time is an argument, randomness is passed in, so that recorded traces replay to stated outcomes.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

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
