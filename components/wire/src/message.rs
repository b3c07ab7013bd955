//! The messages that entry hosts exchange over TCP, and the facts and configuration they carry.

use std::net::SocketAddr;

use board::{Delta, Version};
use model::task::{Attempt, End, Id};
use model::{DataCentreId, Epoch, HostId, Partition, RackId, Resources, Revision, WorkerId, WorkloadId};
use serde::{Deserialize, Serialize};

/// A key of the configuration: the platform's key below the cell's prefix.
pub type ConfigKey = String;
/// A value of the configuration, as it stands in the platform's key-value service.
pub type ConfigValue = Vec<u8>;

/// What a line of the platform's list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostKind {
    /// A worker that runs tasks.
    Worker,
    /// An entry host.
    Entry,
}

/// One line of the platform's lagging list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Worker or entry host.
    pub kind: HostKind,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Rack.
    pub rack: RackId,
    /// Address by IP number.
    pub address: SocketAddr,
    /// All that a worker offers.
    pub capacity: Resources,
    /// On its way out.
    pub leaving: bool,
}

/// Key of a fact that an entry host publishes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FactKey {
    /// A worker that the host holds.
    Worker(WorkerId),
    /// An attempt on a worker that the host holds.
    Task(Id, Attempt),
}

/// A fact that an entry host publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fact {
    /// About a worker.
    Worker(WorkerFact),
    /// About an attempt.
    Task(TaskFact),
}

/// State of a held worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerFact {
    /// Epoch of the hold.
    pub epoch: Epoch,
    /// All that the worker offers.
    pub capacity: Resources,
    /// Neither committed to a task nor kept for a workload.
    pub free: Resources,
    /// Committed to patient tasks, which may be stopped for urgent work.
    pub patient: Resources,
    /// Whether the worker answers its holder.
    pub reachable: bool,
    /// Whether it takes new tasks.
    pub open: bool,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// Whether it is on probation after failures.
    pub probation: bool,
    /// Whether this worker's tasks are all surely ended although it can't be reached.
    pub lapsed: bool,
}

/// State of an attempt as its holder knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Committed; the worker has not confirmed yet.
    Starting,
    /// Runs; a service instance answers at the address.
    Running(Option<SocketAddr>),
    /// Told to stop.
    Stopping,
    /// Surely ended.
    Ended(End),
}

/// An attempt on a held worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFact {
    /// Where it is.
    pub worker: WorkerId,
    /// How it is.
    pub state: TaskState,
    /// Its committed size.
    pub resources: Resources,
    /// Whether it may be stopped for urgent work.
    pub patient: bool,
    /// Run time since its last checkpoint, which a stop would lose: the power of two of the seconds. So coarse
    /// that it seldom changes, since each change travels to every neighbour.
    pub unsaved: u8,
}

/// An order to start one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Where.
    pub worker: WorkerId,
    /// What.
    pub task: Id,
    /// Which attempt.
    pub attempt: Attempt,
    /// Its declared size.
    pub resources: Resources,
    /// The program.
    pub run: String,
    /// Whether it is a service instance.
    pub service: bool,
    /// Whether it may be stopped for urgent work.
    pub patient: bool,
}

/// An order to stop one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// Where.
    pub worker: WorkerId,
    /// What.
    pub task: Id,
    /// Which attempt.
    pub attempt: Attempt,
}

/// An order to keep room for a workload. Reservations are honoured in the order of `seniority` at every
/// holder, so that two gangs can't each hold a part of what the other needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReserveOrder {
    /// Where.
    pub worker: WorkerId,
    /// For whom.
    pub workload: WorkloadId,
    /// How much.
    pub resources: Resources,
    /// Lower goes first: priority, then time of acceptance.
    pub seniority: u64,
    /// Patient attempts to stop for it.
    pub victims: Vec<(Id, Attempt)>,
}

/// What a holder says to a start order. Anything but `Accepted` means that it surely was not started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// Committed in the ledger of the hold with this epoch; it will be sent to the worker.
    Accepted(Epoch),
    /// Does not fit; this is free.
    Full(Resources),
    /// This host does not hold the worker.
    NotHolder,
    /// The worker takes nothing new now: it is leaving, unreachable or on probation.
    Closed,
    /// A newer claim on the partition is known.
    Superseded(Epoch),
}

/// What a host holds of a partition, for a new owner of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryAnswer {
    /// Newest claim epoch that this host knows for the partition.
    pub epoch: Epoch,
    /// Version of the host's facts that shows all of this.
    pub version: Version,
    /// Workers held with a complete inventory, and the epochs of the holds.
    pub workers: Vec<(WorkerId, Epoch)>,
    /// Attempts at tasks of the partition.
    pub tasks: Vec<InventoryItem>,
}

/// One attempt found by an inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryItem {
    /// What.
    pub task: Id,
    /// Which attempt.
    pub attempt: Attempt,
    /// Where and how.
    pub fact: TaskFact,
}

/// What is remembered of an unrepeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedKey {
    /// Its key.
    pub key: String,
    /// The answer; `None` when it is unknown whether it ran.
    pub answer: Option<RememberedAnswer>,
}

/// An answer that is remembered whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A request to another entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Configuration after a revision.
    Configuration {
        /// The revision that the asker has.
        since: Revision,
    },
    /// Facts after a version.
    Facts {
        /// The version that the asker has.
        since: Version,
    },
    /// The platform's list of hosts, when it is newer than this version of it.
    List {
        /// The version that the asker has.
        since: u64,
    },
    /// A new claim on a partition; answered with what is held of it.
    Announce {
        /// The partition.
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
    },
    /// The claim epochs that the host knows.
    Epochs,
    /// Start attempts of one partition.
    Start {
        /// The partition.
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
        /// The orders.
        orders: Vec<StartOrder>,
    },
    /// Keep room that becomes free on workers for one workload, for a short time.
    Reserve {
        /// The partition.
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
        /// Where and how much.
        orders: Vec<ReserveOrder>,
    },
    /// Stop attempts of one partition.
    Stop {
        /// The partition.
        partition: Partition,
        /// Epoch of the claim.
        epoch: Epoch,
        /// The orders.
        orders: Vec<StopOrder>,
    },
    /// Ended attempts whose end is durable: forget them.
    Acknowledge {
        /// What and where.
        ends: Vec<StopOrder>,
    },
    /// A statement that shows something, about the asked host's data centre.
    Show {
        /// The statement.
        statement: String,
    },
    /// Keys of unrepeatable requests whose home the sender was and the asked host is from now on.
    Keys {
        /// The sender, which is stopping.
        from: HostId,
        /// The keys.
        keys: Vec<RememberedKey>,
        /// Whether the asked host has got all of them with this.
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
    /// To `List`, when there is a newer one: its version and lines.
    List(u64, Vec<(HostId, ListedHost)>),
    /// To `Announce`.
    Inventory(InventoryAnswer),
    /// To `Epochs`.
    Epochs(Vec<(Partition, Epoch)>),
    /// To `Start`, in the order of the orders, with the version of the holder's facts that shows them.
    Started(Vec<StartAnswer>, Version),
    /// To `Reserve`, in the order of the orders: whether all the room is there now.
    Reserved(Vec<bool>),
    /// To `Stop`, `Acknowledge` and `Keys`, and to `List` when there is no newer one.
    Done,
    /// To `Show`: rows of cells.
    Rows(Vec<Vec<String>>),
    /// The request can't be answered here and now.
    Refused(String),
}
