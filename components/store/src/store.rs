//! The interface to the key-value service.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::budget::Purpose;
use crate::gateway::{Event, Lease, Range, Txn, TxnOutcome};

/// Error of a call to the platform.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The service can't have received the call.
    #[error("the platform can't be reached: {0}")]
    NotSent(String),
    /// The call may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unknown(String),
    /// The service refused the call, which had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The call was not sent: the budget of its purpose is used up.
    #[error("the budget for platform calls is currently used up")]
    OverBudget,
    /// The call was not sent: a value exceeds the size limit.
    #[error("value of {0} has {1} bytes, which exceeds the size limit of the platform")]
    TooLarge(String, usize),
}

impl StoreError {
    /// Whether the call may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, StoreError::Unknown(_))
    }
}

/// A message of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// Changes in the order of their revisions, complete up to and including the given revision.
    Events(Vec<Event>, u64),
    /// The requested revision has been compacted; the whole range must be read again.
    Compacted,
}

/// A key-value service with compare-and-swap, leases and watches.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads all keys with a prefix.
    async fn range(&self, purpose: Purpose, prefix: &str) -> Result<Range, StoreError>;
    /// Reads a key. The entry of a key that does not exist has revision 0.
    async fn get(&self, purpose: Purpose, key: &str) -> Result<crate::Entry, StoreError>;
    /// Executes a transaction.
    async fn txn(&self, purpose: Purpose, txn: &Txn) -> Result<TxnOutcome, StoreError>;
    /// Grants a lease.
    async fn grant(&self, purpose: Purpose, ttl: Duration) -> Result<Lease, StoreError>;
    /// Renews a lease. Returns false if it has expired.
    async fn keepalive(&self, purpose: Purpose, lease: Lease) -> Result<bool, StoreError>;
    /// Revokes a lease, which deletes all keys attached to it.
    async fn revoke(&self, purpose: Purpose, lease: Lease) -> Result<(), StoreError>;
    /// Watches a prefix, starting at a revision. The channel is closed when the watch ends.
    async fn watch(&self, purpose: Purpose, prefix: &str, from: u64)
    -> Result<mpsc::Receiver<WatchUpdate>, StoreError>;
}
