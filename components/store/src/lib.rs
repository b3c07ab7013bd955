//! The edge to the platform: its key-value service (compare-and-swap, leases, watches) and its lagging list
//! of hosts.
//!
//! Spoken here: the published JSON gateway of etcd v3. Every call is counted and takes from a budget by use.
//! A change whose answer is lost is reported as unknown and never repeated blindly: the caller reads back.

mod budget;
mod etcd;
pub mod gateway;
mod list;
mod store;

pub use budget::{Budget, Counts, Purpose};
pub use etcd::Client;
pub use gateway::{Compare, Entry, Event, Lease, MAX_VALUE, Put, Range, Txn, TxnOutcome};
pub use list::{Host, HostKind, HostLister, List, ListClient};
pub use store::{Store, StoreError, WatchUpdate};
