//! Which entry hosts are live, as one entry host sees it, and who is responsible for what among them.
//!
//! Pure: digests and time go in, states come out. Sockets belong to the `node` package.

mod digest;
mod rendezvous;
mod table;

pub use digest::{Digest, HostHash, LastHeard, Peer, Presence, hash_host};
pub use rendezvous::{highest_ranked, rank};
pub use table::{DetectorLimits, HostState, Member, MemberTable};
