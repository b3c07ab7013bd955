//! What the product needs of a key-value service.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::budget::Use;
use crate::gateway::{Event, Lease, Outcome, Range, Txn};

/// Why a call brought no outcome.
#[derive(Clone, Debug, Error)]
pub enum Fault {
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

impl Fault {
    /// Whether the change may have taken effect.
    pub fn may_have_happened(&self) -> bool {
        matches!(self, Fault::Unknown(_))
    }
}

/// What a watch brings: changes up to and including a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// In order; complete up to the revision.
    Upto(Vec<Event>, u64),
    /// The wanted revision is no longer kept: read the whole range anew.
    Compacted,
}

/// A key-value service with compare-and-swap, leases and watches.
#[async_trait]
pub trait Store: Send + Sync {
    /// All keys with a prefix.
    async fn range(&self, usage: Use, prefix: &str) -> Result<Range, Fault>;
    /// One key; with revision 0 when it is not there.
    async fn get(&self, usage: Use, key: &str) -> Result<crate::Entry, Fault>;
    /// A transaction.
    async fn txn(&self, usage: Use, txn: &Txn) -> Result<Outcome, Fault>;
    /// A lease.
    async fn grant(&self, usage: Use, ttl: Duration) -> Result<Lease, Fault>;
    /// Prolongs a lease; false when it has lapsed.
    async fn keepalive(&self, usage: Use, lease: Lease) -> Result<bool, Fault>;
    /// Ends a lease and all keys under it.
    async fn revoke(&self, usage: Use, lease: Lease) -> Result<(), Fault>;
    /// Watches a prefix from a revision on. The channel closes when the watch ends.
    async fn watch(&self, usage: Use, prefix: &str, from: u64) -> Result<mpsc::Receiver<Changes>, Fault>;
}
