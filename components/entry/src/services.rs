//! What an entry host needs from outside: the store, workers, the adviser and the list of workers.

use std::collections::BTreeMap;
use std::time::Duration;

use async_trait::async_trait;
use sched::{End, Info, Running, Start};
use thiserror::Error;
use work::{Attempt, Config, Task, Term, Unit, WorkerId};

/// Why a call brought no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ServiceError {
    /// The other side has done nothing: no connection, or it said so.
    #[error("not done: {0}")]
    NotDone(String),
    /// Whether it was done is not known.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The answer makes no sense.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// Id of a lease in the store.
pub type LeaseId = u64;

/// A value in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// What a read of one key has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// The item; `None` for an absent key.
    pub item: Option<KeyValue>,
    /// Revision of the store at that time: changes after it are still to come.
    pub revision: u64,
}

/// What a wait for changes has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Nothing has changed up to this revision.
    Unchanged(u64),
    /// Something has, or may have where history is gone: it is to be read anew.
    Changed,
}

/// A value to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Lease that it goes with; 0 for none.
    pub lease: LeaseId,
}

/// Changes that are made all or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys that must have these revisions; 0 stands for an absent key.
    pub expected: Vec<(String, u64)>,
    /// Values to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was done at this revision.
    Done(u64),
    /// It was not done: a key has another revision. The present values of the expected keys.
    Conflict(Vec<KeyValue>),
    /// It was not done: there is no such lease.
    NoLease,
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Read, ServiceError>;
    /// Reads all keys of a prefix, page by page; not a snapshot.
    async fn range(&self, prefix: &str) -> Result<Vec<KeyValue>, ServiceError>;
    /// Waits until a key of the prefix may have changed after `revision`.
    async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError>;
    /// Carries out a transaction. Waits for the answer at most `patience`.
    async fn commit(&self, transaction: &Transaction, timeout: Duration) -> Result<CommitOutcome, ServiceError>;
    /// Creates a lease.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, ServiceError>;
    /// Renews a lease. Whether it still exists.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, ServiceError>;
    /// Ends a lease; its keys go with it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), ServiceError>;
}

/// What the operator and the workers write to the platform.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Reads the configuration, if there is one, and the revision of the store at that time.
    async fn config(&self) -> Result<(Option<Config>, u64), ServiceError>;
    /// Waits until the configuration may have changed after `revision`; see [`Store::changed`].
    async fn watch_config(&self, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError>;
    /// Reads the list of workers.
    async fn workers(&self) -> Result<BTreeMap<WorkerId, Info>, ServiceError>;
}

/// A renewal of a worker's leases.
#[derive(Clone, Debug)]
pub struct Renewal {
    /// Term of the leader; a worker takes nothing of a lower one any more.
    pub term: Term,
    /// End of the leases, on the worker's clock; `None` to learn that clock first.
    pub until: Option<Duration>,
    /// Ends up to this number are acknowledged.
    pub acked: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Order {
    /// Term of the leader.
    pub term: Term,
    /// End of the run's lease, on the worker's clock.
    pub until: Duration,
    /// The run.
    pub start: Start,
}

/// A worker's answer to a renewal.
#[derive(Clone, Debug)]
pub struct WorkerStatus {
    /// The worker's clock, which begins again with each of its lives.
    pub clock: Duration,
    /// When the life that answers was born, in milliseconds since 1970; `None` where it doesn't say.
    pub born: Option<u64>,
    /// All that runs.
    pub running: Vec<Running>,
    /// Ends not acknowledged.
    pub ended: Vec<End>,
}

/// What a worker made of a call.
#[derive(Clone, Debug)]
pub enum Reply<T> {
    /// It was taken.
    Done(T),
    /// Another leader has a higher term.
    Fenced,
    /// Another life is at this address.
    OtherIncarnation,
    /// It was refused and nothing was done.
    Refused(Refusal),
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There is no room, the run is old, the order came late, or it is malformed.
    Other,
    /// The ticket doesn't hold.
    Ticket,
    /// The worker is unhealthy.
    Unhealthy,
}

/// Where to reach one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The life.
    pub id: WorkerId,
    /// Address and port.
    pub address: String,
}

/// The workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Renews leases, acknowledges ends, and lists what runs.
    async fn renew(&self, target: &Target, renewal: &Renewal) -> Result<Reply<WorkerStatus>, ServiceError>;
    /// Starts a run. Waits for the answer at most `patience`.
    async fn start(&self, target: &Target, order: &Order, timeout: Duration) -> Result<Reply<()>, ServiceError>;
    /// Stops a run; one that isn't there is refused from then on.
    async fn stop(&self, target: &Target, term: Term, task: Task, attempt: Attempt) -> Result<Reply<()>, ServiceError>;
}

/// The service that knows which workers may run a step.
#[async_trait]
pub trait Adviser: Send + Sync {
    /// Who of `workers` may run the unit, each with the text of its ticket.
    async fn advise(&self, unit: Unit, workers: &[WorkerId]) -> Result<Vec<(WorkerId, String)>, ServiceError>;
}
