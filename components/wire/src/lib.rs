//! The protocol between entry hosts: authenticated `postcard` messages, in UDP datagrams (digests) and TCP frames
//! (requests and answers).
//!
//! Every message is `version (1 byte) | MAC (32 bytes) | postcard`. The MAC is a BLAKE3 keyed hash with a key derived
//! from the cell's shared key, so that unauthenticated input is never decoded. Decoding never panics and never
//! allocates more than the size of the message.

mod codec;
mod frame;
mod message;

pub use codec::{Key, MAX_DATAGRAM, MessageError, decode, encode};
pub use frame::{MAX_FRAME, read_frame, read_length, read_message, write_frame};
pub use message::{
    Answer, ConfigKey, ConfigValue, Fact, FactKey, HostKind, InventoryAnswer, InventoryItem, KeyRecord, ListedHost,
    RecordedResponse, Request, ReserveOrder, StartAnswer, StartOrder, StopOrder, TaskFact, TaskState, WorkerFact,
};
