//! The decisions about callers' requests: which class, admitted or refused, which instance, retried or not,
//! and whether an unrepeatable one may run here.
//!
//! Pure: time is an argument, randomness is passed in, so that recorded traces replay to stated outcomes.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod class;
mod home;
mod keys;
mod pool;
mod queue;
mod retry;

pub use class::{ClassIndex, Classes};
pub use home::{Home, Standing};
pub use keys::{Begin, Key, KeyFault, Memory};
pub use pool::{Instance, Pick, Pool, allot};
pub use queue::{Ask, Offer, Queue, Refusal, Room, Ticket, Why};
pub use retry::Budget;
