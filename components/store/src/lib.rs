//! Client of the platform: its key-value service (compare-and-swap, leases, watches) and its list of hosts, which lags
//! behind the actual state.
//!
//! The protocol is the JSON gateway of etcd v3. Calls are counted and rate limited by purpose. The outcome of a change
//! whose response is lost is reported as unknown; the change is not retried, since the caller must read the state
//! first.

mod budget;
mod etcd;
pub mod gateway;
mod list;
mod store;

pub use budget::{Budget, Counts, Purpose};
pub use etcd::Client;
pub use gateway::{Compare, Entry, Event, Lease, MAX_VALUE, Put, Range, Txn, TxnOutcome};
pub use list::{Host, HostKind, HostLister, InvalidEntry, List, ListClient};
pub use store::{Store, StoreError, WatchUpdate};
