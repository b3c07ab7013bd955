//! The protocol between entry hosts: sealed `postcard` messages, in UDP datagrams (digests) and TCP frames
//! (requests and answers).
//!
//! Every message is `version (1 byte) | seal (32 bytes) | postcard`. The seal is a BLAKE3 hash keyed from the
//! cell's shared key, so nothing without the key is even decoded. Decoding never panics and never allocates
//! more than the message's own size.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod frame;
mod message;
mod seal;

pub use frame::{MAX_FRAME, read, write};
pub use message::{
    Answer, ConfigKey, ConfigValue, Fact, FactKey, HostKind, InventoryAnswer, InventoryItem, ListedHost,
    RememberedAnswer, RememberedKey, Request, ReserveOrder, StartAnswer, StartOrder, StopOrder, TaskFact, TaskState,
    WorkerFact,
};
pub use seal::{Key, MAX_DATAGRAM, MessageError, open, seal};
