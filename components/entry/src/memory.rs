//! How an entry host divides the memory and the descriptors of its machine among what its clients can make it hold.
//!
//! What is left is for the process itself, for workers, and for what the system's buffers hold.

/// Part of the memory for connections.
const CONNECTIONS_SHARE: f64 = 0.35;
/// Part of the memory for requests that are being received, and for those that wait for the leader.
const REQUESTS_SHARE: f64 = 0.1;
/// Part of the memory for accepted jobs and the log.
const JOBS_SHARE: f64 = 0.4;
/// Memory of a connection whose client fills its buffers, in bytes.
const CONNECTION_BYTES: usize = 30_000;
/// Maximum number of callers' connections, however large the machine is.
const MAX_CONNECTIONS: usize = 3000;
/// Descriptors for files, and for connections to workers, hosts and the store.
const OWN_DESCRIPTORS: usize = 1000;

/// What clients may make a host hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// Number of callers' connections.
    pub connections: usize,
    /// For requests in progress, in bytes.
    pub requests: usize,
    /// For accepted jobs and the log, in bytes.
    pub jobs: usize,
}

impl Memory {
    /// Divides the memory of a machine, in bytes, and its descriptors.
    pub fn of_machine(bytes: usize, descriptors: usize) -> Memory {
        let share = |share: f64| (bytes as f64 * share) as usize;
        // On a machine with few descriptors, callers get half of them.
        let descriptors = descriptors.saturating_sub(OWN_DESCRIPTORS).max(descriptors / 2);
        Memory {
            connections: (share(CONNECTIONS_SHARE) / CONNECTION_BYTES).min(descriptors).clamp(1, MAX_CONNECTIONS),
            requests: share(REQUESTS_SHARE),
            jobs: share(JOBS_SHARE),
        }
    }
}
