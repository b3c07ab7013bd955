//! The heartbeat that entry hosts send to each other over UDP every few hundred milliseconds.

use std::net::SocketAddr;

use model::{CellId, DataCentreId, HostId, Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// Whether a host accepts new responsibilities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// The host is in service.
    Serving,
    /// The host is shutting down and must get nothing new.
    Leaving,
    /// The host has stopped, and this is its last digest.
    Gone,
}

/// Name, location and addresses of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Address of the peer port, which has the same number for UDP and TCP.
    pub peers: SocketAddr,
    /// Address that accepts requests relayed by other entry hosts.
    pub relay: SocketAddr,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The cell of the sender. Receivers drop digests of other cells.
    pub cell: CellId,
    /// The sender.
    pub from: Peer,
    /// The sender's incarnation, a new one after each restart.
    pub incarnation: Incarnation,
    /// Number of the digest, increased by one with each digest of the same incarnation.
    pub sequence: u64,
    /// Whether the sender accepts new work.
    pub presence: Presence,
    /// Revision of the configuration that the sender has applied.
    pub configuration: Revision,
    /// Version of the facts that the sender publishes.
    pub facts: u64,
    /// The last digest that the sender received from each live host of its own data centre.
    pub heard: Vec<LastHeard>,
    /// Some other live hosts, so that a new host that knows one host learns of all. Empty in most digests.
    pub known: Vec<Peer>,
}

/// The last digest received from a host, in a compact form because these entries make up most of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastHeard {
    /// Hash of the host's name.
    pub host: HostHash,
    /// The low 32 bits of the host's incarnation.
    pub life: u32,
    /// Sequence number of the digest.
    pub sequence: u64,
}

/// Hash of a host's name, sent instead of the name to keep digests short.
pub type HostHash = u32;

/// Computes the hash of a host's name.
pub fn hash_host(host: &str) -> HostHash {
    xxhash_rust::xxh3::xxh3_64(host.as_bytes()) as HostHash
}
