//! The settings of an entry host: reads and validates a YAML file, and reports all errors at once, each with file, line
//! and field.

mod tree;
mod validate;

use std::net::SocketAddr;
use std::time::Duration;

use model::workload::Priority;
use model::{CellId, ClassId, DataCentreId, HostId, Partition, WorkloadId};

pub use tree::{Diagnostic, SettingsError};

/// All settings of `walkhookd`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Cell that this host belongs to.
    pub cell: CellId,
    /// Name of this host.
    pub host: HostId,
    /// Data centre of this host.
    pub data_centre: DataCentreId,
    /// All data centres of the cell.
    pub data_centres: Vec<DataCentreId>,
    /// Addresses that this host listens on.
    pub listen: Listen,
    /// Peer addresses of some other entry hosts, from which this host learns of the rest.
    pub seeds: Vec<SocketAddr>,
    /// Access to the platform.
    pub platform: Platform,
    /// Secret shared by the entry hosts and operators of the cell.
    pub shared_key: String,
    /// Failure detection among entry hosts.
    pub membership: Membership,
    /// Task leases and retention.
    pub tasks: Tasks,
    /// Limits on callers' requests.
    pub requests: Requests,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Longest time that a planned stop waits for requests in flight.
    pub stop_within: Duration,
    /// Least severe level that is logged.
    pub log: Level,
}

/// Addresses that this host listens on.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// UDP and TCP for other entry hosts.
    pub peers: SocketAddr,
    /// Requests that other entry hosts relay.
    pub relay: SocketAddr,
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Address of its HTTP gateway.
    pub address: SocketAddr,
    /// Timeout of one call.
    pub timeout: Duration,
    /// Most calls per second that this host makes.
    pub calls_per_second: u32,
}

/// Failure detection among entry hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// Interval between digests.
    pub heartbeat: Duration,
    /// Time without a digest after which a host is considered dead.
    pub dead_after: Duration,
}

/// Task leases and retention.
#[derive(Clone, Debug, PartialEq)]
pub struct Tasks {
    /// Duration of the lease of a task on its worker.
    pub lease: Duration,
    /// Interval between lease renewals.
    pub renew_every: Duration,
    /// Number of job partitions in each data centre. Must be the same on all hosts and can never change.
    pub partitions: Partition,
    /// Retention of the records of finished and cancelled workloads.
    pub keep_finished: Duration,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Requests {
    /// Largest request body, in bytes.
    pub max_body: u64,
    /// Memory for the bodies of requests on this host, in bytes.
    pub memory: u64,
    /// Most open connections from callers.
    pub connections: u32,
    /// Most requests that wait on this host.
    pub queue: u32,
    /// Most requests that one service instance runs at once.
    pub slots: u32,
    /// How long the answer to a non-repeatable request is remembered.
    pub key_window: Duration,
    /// Largest answer to a non-repeatable request that is remembered whole, in bytes.
    pub max_remembered: u64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name that metrics and reasons show.
    pub name: ClassId,
    /// Path prefix of the requests in this class; the longest match wins.
    pub path: String,
    /// Service that answers the requests.
    pub service: WorkloadId,
    /// Priority in the queue.
    pub priority: Priority,
    /// Time limit for the answer, unless the caller states a shorter one.
    pub deadline: Duration,
    /// Whether a request may run more than once. Other requests must have an `Idempotency-Key` header.
    pub repeatable: bool,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Details for developers.
    Debug,
    /// Regular changes of state.
    Info,
    /// Conditions that an operator may have to look at.
    Warning,
    /// Faults.
    Error,
}

/// Parses and validates settings. `file` is the name of the source in error messages.
///
/// # Errors
///
/// Returns all errors in `text`, each with its line and field.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    validate::settings(file, text)
}
