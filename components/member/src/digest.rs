//! What an entry host says about itself every few hundred milliseconds, over UDP.

use std::net::SocketAddr;

use model::{CellId, DataCentreId, HostId, Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// Whether a host takes new responsibilities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It serves.
    Serving,
    /// It is on its way out: nothing new for it.
    Leaving,
    /// It has stopped; this is its last digest.
    Gone,
}

/// Where a host can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The address of its peer port, the same number for UDP and TCP.
    pub peers: SocketAddr,
    /// The address where it takes requests relayed by other entry hosts.
    pub relay: SocketAddr,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The cell; digests of another cell are dropped.
    pub cell: CellId,
    /// The sender.
    pub from: Peer,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Grows by one with each digest of this life.
    pub sequence: u64,
    /// Whether it takes new work.
    pub presence: Presence,
    /// Revision of the configuration that it has in force.
    pub configuration: Revision,
    /// Version of the facts that it publishes.
    pub facts: u64,
    /// What it last heard from each live host of its own data centre.
    pub heard: Vec<LastHeard>,
    /// Some other live hosts, so that a newcomer who knows one host comes to know all. Not in every digest.
    pub known: Vec<Peer>,
}

/// What was last heard from a host, kept short: it is most of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastHeard {
    /// Stands for its name.
    pub host: HostHash,
    /// The last four bytes of its incarnation.
    pub life: u32,
    /// The sequence of its last digest.
    pub sequence: u64,
}

/// Stands for a host's name where many names would be sent.
pub type HostHash = u32;

/// The mark of a host's name.
pub fn hash_host(host: &str) -> HostHash {
    xxhash_rust::xxh3::xxh3_64(host.as_bytes()) as HostHash
}
