//! Interfaces to the services that an entry host depends on: the store, the directory, the workers and the
//! advice service.

use std::collections::BTreeMap;
use std::time::Duration;

use async_trait::async_trait;
use sched::{End, Running, Start, WorkerInfo};
use thiserror::Error;
use work::{Attempt, Config, Task, Term, Unit, WorkerId};

/// Why a call to a service failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ServiceError {
    /// The call was certainly not carried out: there was no connection, or the service said so.
    #[error("not done: {0}")]
    NotDone(String),
    /// The service doesn't accept the call, which wasn't carried out. The same call would be rejected again.
    #[error("rejected: {0}")]
    Rejected(String),
    /// It is unknown whether the call was carried out.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The response can't be interpreted.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// Id of a lease in the store.
pub type LeaseId = u64;

/// A key in the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    pub key: String,
    pub value: Vec<u8>,
    /// Revision of the last change to the key.
    pub revision: u64,
}

/// Result of reading one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// The key and its value; `None` if the key is absent.
    pub item: Option<KeyValue>,
    /// Revision of the store at the time of the read; a watch from here sees all later changes.
    pub revision: u64,
}

/// Result of waiting for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Nothing has changed up to this revision.
    Unchanged(u64),
    /// Something has changed, or may have changed where the history was compacted: the data must be read again.
    Changed,
}

/// A value to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    pub key: String,
    pub value: Vec<u8>,
    /// Lease to attach the key to; 0 for none.
    pub lease: LeaseId,
}

/// Changes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys that must have these revisions; 0 stands for an absent key.
    pub expected: Vec<(String, u64)>,
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub removes: Vec<String>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Committed at this revision.
    Done(u64),
    /// Not committed: a key has another revision. Contains the current values of the expected keys.
    Conflict(Vec<KeyValue>),
    /// Not committed: the lease doesn't exist.
    NoLease,
}

/// The platform's key-value store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Read, ServiceError>;
    /// Reads all keys with a prefix, page by page; the result is not a snapshot.
    async fn range(&self, prefix: &str) -> Result<Vec<KeyValue>, ServiceError>;
    /// Waits for at most `wait` until a key with the prefix may have changed after `revision`.
    async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError>;
    /// Commits a transaction and waits for the response for at most `timeout`. Only [`ServiceError::NotDone`] and
    /// [`ServiceError::Rejected`] mean that nothing was committed.
    async fn commit(&self, transaction: &Transaction, timeout: Duration) -> Result<CommitOutcome, ServiceError>;
    /// Creates a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, ServiceError>;
    /// Renews a lease. Returns whether it still exists.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, ServiceError>;
    /// Revokes a lease, which deletes the keys attached to it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), ServiceError>;
}

/// What operators and workers publish on the platform: the configuration and the list of workers.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Reads the configuration, if there is one, and the revision of the store at that time.
    async fn config(&self) -> Result<(Option<Config>, u64), ServiceError>;
    /// Waits until the configuration may have changed after `revision`; see [`Store::watch`].
    async fn watch_config(&self, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError>;
    /// Reads the list of workers.
    async fn workers(&self) -> Result<BTreeMap<WorkerId, WorkerInfo>, ServiceError>;
}

/// A request to renew a worker's leases.
#[derive(Clone, Debug)]
pub struct Renewal {
    /// Term of the leader. The worker rejects lower terms from then on.
    pub term: Term,
    /// When the leases end, on the worker's clock; `None` while the leader doesn't know that clock yet.
    pub until: Option<Duration>,
    /// Run ends with numbers up to this one are acknowledged.
    pub acked: u64,
    /// How long the worker may hold back its response until a run ends.
    pub wait: Duration,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Order {
    /// Term of the leader.
    pub term: Term,
    /// When the run's lease ends, on the worker's clock.
    pub until: Duration,
    pub start: Start,
}

/// A worker's response to a renewal.
#[derive(Clone, Debug)]
pub struct WorkerStatus {
    /// The worker's clock, which starts again with each incarnation.
    pub clock: Duration,
    /// When the responding incarnation started, in milliseconds since 1970; `None` if the worker doesn't report it.
    pub born: Option<u64>,
    /// All current runs.
    pub running: Vec<Running>,
    /// Run ends that aren't acknowledged yet, by number.
    pub ended: Vec<End>,
    /// Whether there may be further ones, which the worker lists once these are acknowledged.
    pub truncated: bool,
}

/// A worker's response to a call.
#[derive(Clone, Debug)]
pub enum Reply<T> {
    /// The call was accepted.
    Done(T),
    /// The worker knows a leader with a higher term.
    Fenced,
    /// Another incarnation of the worker runs at this address.
    OtherIncarnation,
    /// The call was refused, and nothing was done.
    Refused(Refusal),
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There is no room, the run is outdated, the order was late, or it is malformed.
    Other,
    /// The ticket isn't valid.
    Ticket,
    Unhealthy,
}

/// Where to reach one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the incarnation.
    pub id: WorkerId,
    /// Address and port.
    pub address: String,
}

/// Calls to workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Renews leases, acknowledges run ends and lists the current runs.
    async fn renew(&self, target: &Target, renewal: &Renewal) -> Result<Reply<WorkerStatus>, ServiceError>;
    /// Starts a run and waits for the response for at most `timeout`. Only [`ServiceError::NotDone`] means that
    /// nothing was started.
    async fn start(&self, target: &Target, order: &Order, timeout: Duration) -> Result<Reply<()>, ServiceError>;
    /// Stops a run. A run that isn't there is refused if it is to start later.
    async fn stop(&self, target: &Target, term: Term, task: Task, attempt: Attempt) -> Result<Reply<()>, ServiceError>;
}

/// The service that decides which workers may run a step.
#[async_trait]
pub trait Adviser: Send + Sync {
    /// Returns those of `workers` that may run the unit, each with the text of its ticket.
    async fn advise(&self, unit: Unit, workers: &[WorkerId]) -> Result<Vec<(WorkerId, String)>, ServiceError>;
}
