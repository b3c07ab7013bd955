//! Which entry hosts are live, as one entry host sees it, and who is responsible for what among them.
//!
//! Pure: digests and time go in, states come out. Sockets belong to the `node` package.

mod digest;
mod rendezvous;
mod table;

pub use digest::{Digest, Heard, HostMark, Peer, Presence, mark};
pub use rendezvous::{rank, winner};
pub use table::{Limits, Member, State, Table};
