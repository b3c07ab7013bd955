//! Group membership and failure detection among entry hosts, and rendezvous hashing to divide work among them.
//!
//! This package does no I/O and never reads the clock. Callers pass in heartbeats and the current time, and get the
//! states of the hosts back. The `node` package owns the sockets.

mod digest;
mod rendezvous;
mod table;

pub use digest::{Digest, HostHash, LastHeard, Peer, Presence, hash_host};
pub use rendezvous::{highest_ranked, rank};
pub use table::{DetectorLimits, HostState, Member, MemberTable};
