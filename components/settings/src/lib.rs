//! The settings of an entry host: read from a YAML file and checked whole, so that a person sees every fault
//! at once, each with file, line and field.

// Off until its wording is done.
#![allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]

mod check;
mod tree;

use std::net::SocketAddr;
use std::time::Duration;

use model::workload::Priority;
use model::{CellId, ClassId, DataCentreId, HostId, Partition, WorkloadId};

pub use tree::{Diagnostic, SettingsError};

/// Everything that `walkhookd` is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cell that this host belongs to.
    pub cell: CellId,
    /// This host's name.
    pub host: HostId,
    /// This host's data centre.
    pub data_centre: DataCentreId,
    /// All data centres of the cell.
    pub data_centres: Vec<DataCentreId>,
    /// Own addresses.
    pub listen: Listen,
    /// Peer addresses of some other entry hosts; the rest are learnt from these.
    pub seeds: Vec<SocketAddr>,
    /// The platform.
    pub platform: Platform,
    /// Key that the entry hosts and operators of the cell share.
    pub shared_key: String,
    /// Failure detection among entry hosts.
    pub membership: Membership,
    /// Tasks and workers.
    pub tasks: Tasks,
    /// Callers' requests.
    pub requests: Requests,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Longest time that a planned stop waits for requests in flight.
    pub stop_within: Duration,
    /// Least severe log level written.
    pub log: Level,
}

/// Own addresses, each by IP number.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP.
    pub operators: SocketAddr,
    /// Other entry hosts, UDP and TCP.
    pub peers: SocketAddr,
    /// Requests relayed by other entry hosts.
    pub relay: SocketAddr,
}

/// The platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Address of its HTTP gateway.
    pub address: SocketAddr,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Calls a second that this host may make.
    pub calls_per_second: u32,
}

/// Failure detection among entry hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// Time between two digests.
    pub heartbeat: Duration,
    /// Silence after which a host is taken for dead.
    pub dead_after: Duration,
}

/// Tasks and workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Tasks {
    /// Lease of a task on its worker.
    pub lease: Duration,
    /// Time between two renewals.
    pub renew_every: Duration,
    /// Partitions of jobs in each data centre; the same at all hosts, for good.
    pub partitions: Partition,
    /// How long the records of finished and cancelled workloads are kept.
    pub keep_finished: Duration,
}

/// Callers' requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Requests {
    /// Largest request body, in bytes.
    pub max_body: u64,
    /// Open connections from callers.
    pub connections: u32,
    /// Requests that may wait at this host.
    pub queue: u32,
    /// Requests that one service instance runs at once.
    pub slots: u32,
    /// How long the answer to an unrepeatable request is remembered.
    pub key_window: Duration,
    /// Largest answer to an unrepeatable request that is remembered whole, in bytes.
    pub max_remembered: u64,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, in metrics and reasons.
    pub name: ClassId,
    /// Paths that start with this belong to it; the longest match wins.
    pub path: String,
    /// The service that answers.
    pub service: WorkloadId,
    /// Its place in the queue.
    pub priority: Priority,
    /// Time to answer, unless the caller states less.
    pub deadline: Duration,
    /// Whether a request may run more than once. Those that may not must carry an `Idempotency-Key`.
    pub repeatable: bool,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// For developers.
    Debug,
    /// Every change of state.
    Info,
    /// Something to look at.
    Warning,
    /// Something is broken.
    Error,
}

/// Reads and checks settings. `file` names the source in the faults.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    check::settings(file, text)
}
