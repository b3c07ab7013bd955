//! Messages between entry hosts over TCP, with the facts and configuration that they contain.
//!
//! The types are serialized with `postcard`: order, number and types of fields and variants are part of the protocol.

use std::net::SocketAddr;

use board::{Delta, Version};
use model::task::{Attempt, End, Id};
use model::{DataCentreId, Epoch, HostId, Partition, RackId, Resources, Revision, WorkerId, WorkloadId};
use serde::{Deserialize, Serialize};

/// A configuration key: the platform's key without the cell's prefix.
pub type ConfigKey = String;
/// A configuration value, as stored in the platform's key-value service.
pub type ConfigValue = Vec<u8>;

/// Kind of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostKind {
    Worker,
    Entry,
}

/// A host in the platform's list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    pub kind: HostKind,
    pub data_centre: DataCentreId,
    pub rack: RackId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Total resources of a worker; zero for an entry host.
    pub capacity: Resources,
    /// Whether the host is being removed.
    pub leaving: bool,
}

/// Key of a fact published by an entry host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FactKey {
    /// A worker that the host holds.
    Worker(WorkerId),
    /// A task attempt on a worker that the host holds.
    Task(Id, Attempt),
}

/// A fact published by an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    Worker(WorkerFact),
    Task(TaskFact),
}

/// State of a held worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFact {
    /// Epoch of the hold.
    pub epoch: Epoch,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Resources neither committed to a task nor reserved for a workload.
    pub free: Resources,
    /// Resources committed to patient tasks, which may be preempted by urgent work.
    pub patient: Resources,
    /// Whether the worker responds to its holder.
    pub reachable: bool,
    /// Whether it accepts new tasks.
    pub open: bool,
    /// Whether it is being removed.
    pub leaving: bool,
    /// Whether it is on probation after failures.
    pub probation: bool,
    /// Whether the worker is unreachable, but all its tasks are certain to have ended.
    pub lapsed: bool,
}

/// State of an attempt, as known by the holder of its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Committed; not yet confirmed by the worker.
    Starting,
    /// Running; service instances have an address.
    Running(Option<SocketAddr>),
    /// The worker has been told to stop it.
    Stopping,
    /// Certain to have ended.
    Ended(End),
}

/// State of an attempt on a held worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFact {
    pub worker: WorkerId,
    pub state: TaskState,
    /// Resources committed to it.
    pub resources: Resources,
    /// Whether it may be preempted by urgent work.
    pub patient: bool,
    /// Run time since the last checkpoint, which stopping the attempt would lose, as the binary logarithm of the
    /// seconds. The value is coarse so that it changes rarely, since each change is sent to all hosts of the data
    /// centre.
    pub unsaved: u8,
}

/// An order to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    pub worker: WorkerId,
    pub task: Id,
    pub attempt: Attempt,
    /// Its declared resources.
    pub resources: Resources,
    /// The program to run.
    pub run: String,
    /// Whether it is a service instance.
    pub service: bool,
    /// Whether it may be preempted by urgent work.
    pub patient: bool,
}

/// An order to stop an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    pub worker: WorkerId,
    pub task: Id,
    pub attempt: Attempt,
}

/// An order to reserve resources for a workload. All holders serve reservations in the order of `seniority`, so that
/// two gangs can't each hold resources that the other one needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveOrder {
    pub worker: WorkerId,
    pub workload: WorkloadId,
    pub resources: Resources,
    /// Lower values go first: by priority, then by time of acceptance.
    pub seniority: u64,
    /// Patient attempts to preempt for it.
    pub victims: Vec<(Id, Attempt)>,
}

/// Answer of a holder to a start order. Anything but `Accepted` means that the attempt was certainly not started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// Committed in the ledger of the hold with this epoch; the start will be sent to the worker.
    Accepted(Epoch),
    /// The attempt does not fit; these resources are free.
    Full(Resources),
    /// This host does not hold the worker.
    NotHolder,
    /// The worker currently accepts no new tasks: it is leaving, unreachable or on probation.
    Closed,
    /// The claim on the partition has been superseded by one with this epoch.
    Superseded(Epoch),
}

/// A host's inventory of a partition, sent to a new owner of the partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryAnswer {
    /// Newest claim epoch of the partition known to this host.
    pub epoch: Epoch,
    /// Version of the host's facts that contains this inventory.
    pub version: Version,
    /// Held workers whose inventory is complete, with the epochs of the holds.
    pub workers: Vec<(WorkerId, Epoch)>,
    /// Attempts of tasks of the partition.
    pub tasks: Vec<InventoryItem>,
}

/// An attempt in an inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryItem {
    pub task: Id,
    pub attempt: Attempt,
    pub fact: TaskFact,
}

/// Record of a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The idempotency key.
    pub key: String,
    /// The response; `None` if it is unknown whether the request ran.
    pub answer: Option<RecordedResponse>,
}

/// A recorded HTTP response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

/// A request to another entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Get the configuration changes after a revision.
    Configuration {
        /// Revision of the configuration that the requesting host has.
        since: Revision,
    },
    /// Get the changes of the facts after a version.
    Facts {
        /// Version of the facts that the requesting host has.
        since: Version,
    },
    /// Get the platform's list of hosts, if there is one newer than this version.
    List {
        /// Version of the list that the requesting host has.
        since: u64,
    },
    /// Announce a new claim on a partition; answered with the host's inventory of it.
    Announce {
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
    },
    /// Get the claim epochs known to the host.
    Epochs,
    /// Start attempts of one partition.
    Start {
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
        orders: Vec<StartOrder>,
    },
    /// Reserve resources that become free on workers for one workload, for a short time.
    Reserve {
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
        orders: Vec<ReserveOrder>,
    },
    /// Stop attempts of one partition.
    Stop {
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
        orders: Vec<StopOrder>,
    },
    /// Remove ended attempts whose end has been stored durably.
    Acknowledge {
        /// The ended attempts.
        ends: Vec<StopOrder>,
    },
    /// Execute a read-only statement for the data centre of the receiving host.
    Show { statement: String },
    /// Hand over idempotency keys from the sender to the receiving host, which is their new owner.
    Keys {
        /// The sending host, which is stopping.
        from: HostId,
        keys: Vec<KeyRecord>,
        /// Whether this is the last batch of keys for the receiving host.
        last: bool,
    },
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To `Configuration`.
    Configuration(Delta<ConfigKey, ConfigValue>),
    /// To `Facts`.
    Facts(Delta<FactKey, Fact>),
    /// To `List`, if there is a newer one: its version and hosts.
    List(u64, Vec<(HostId, ListedHost)>),
    /// To `Announce`.
    Inventory(InventoryAnswer),
    /// To `Epochs`.
    Epochs(Vec<(Partition, Epoch)>),
    /// To `Start`: one answer per order, in the same order, and the version of the holder's facts that contains the
    /// attempts.
    Started(Vec<StartAnswer>, Version),
    /// To `Reserve`: for each order, in the same order, whether all resources are reserved now.
    Reserved(Vec<bool>),
    /// To `Stop`, `Acknowledge` and `Keys`, and to `List` if there is no newer one.
    Done,
    /// To `Show`: rows of cells.
    Rows(Vec<Vec<String>>),
    /// The host can't currently answer the request.
    Refused(String),
}
