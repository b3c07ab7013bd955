//! What the product needs of a key-value service.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::budget::Purpose;
use crate::gateway::{Event, Lease, Range, Txn, TxnOutcome};

/// Why a call brought no outcome.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The service surely did not get it.
    #[error("the platform can't be reached: {0}")]
    NotSent(String),
    /// It may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unknown(String),
    /// The service refused it, so it had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// Not sent: this use's budget is spent.
    #[error("the budget of platform calls is spent for now")]
    OverBudget,
    /// A value above the limit; not sent.
    #[error("value of {0} has {1} bytes, more than the platform keeps")]
    TooLarge(String, usize),
}

impl StoreError {
    /// Whether the change may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, StoreError::Unknown(_))
    }
}

/// What a watch brings: changes up to and including a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// In order; complete up to the revision.
    Events(Vec<Event>, u64),
    /// The wanted revision is no longer kept: read the whole range anew.
    Compacted,
}

/// A key-value service with compare-and-swap, leases and watches.
#[async_trait]
pub trait Store: Send + Sync {
    /// All keys with a prefix.
    async fn range(&self, purpose: Purpose, prefix: &str) -> Result<Range, StoreError>;
    /// One key; with revision 0 when it is not there.
    async fn get(&self, purpose: Purpose, key: &str) -> Result<crate::Entry, StoreError>;
    /// A transaction.
    async fn txn(&self, purpose: Purpose, txn: &Txn) -> Result<TxnOutcome, StoreError>;
    /// A lease.
    async fn grant(&self, purpose: Purpose, ttl: Duration) -> Result<Lease, StoreError>;
    /// Prolongs a lease; false when it has lapsed.
    async fn keepalive(&self, purpose: Purpose, lease: Lease) -> Result<bool, StoreError>;
    /// Ends a lease and all keys under it.
    async fn revoke(&self, purpose: Purpose, lease: Lease) -> Result<(), StoreError>;
    /// Watches a prefix from a revision on. The channel closes when the watch ends.
    async fn watch(&self, purpose: Purpose, prefix: &str, from: u64)
    -> Result<mpsc::Receiver<WatchUpdate>, StoreError>;
}
