//! JSON bodies of the requests to a worker and of its responses.

use std::net::SocketAddr;

use model::task::{Attempt, End, Id};
use model::{Epoch, HostId, Incarnation, Resources};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/hold`: takes over the worker if `epoch` is higher than the one it has stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hold {
    /// The entry host that takes over the worker.
    pub holder: HostId,
    /// Epoch of the hold.
    pub epoch: Epoch,
}

/// Body of `POST /v1/batch`: renews the leases of all tasks and sends commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of the hold.
    pub epoch: Epoch,
    /// Increases with each batch of an epoch. A worker rejects a batch that arrives after a later one.
    pub sequence: u64,
    /// [`Report::stamp_ms`] of the last report that the holder received. Leases are counted from this time on the worker's
    /// own clock, so that a delayed batch can't extend them beyond what the holder assumes.
    pub stamp_ms: u64,
    /// Lease of all tasks in milliseconds, counted from the stamp.
    pub lease_ms: u64,
    /// Commands to execute in this order.
    pub commands: Vec<Command>,
}

/// A command to a worker. Commands are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Starts an attempt, unless the worker already knows it.
    Start {
        task: Id,
        attempt: Attempt,
        /// Resources committed to the attempt.
        resources: Resources,
        /// The program to run.
        run: String,
        /// Whether it serves requests; if so, the worker reports its address.
        service: bool,
        /// Whether it may be preempted by urgent work. The worker stores this for the next holder.
        patient: bool,
    },
    /// Stops an attempt, which may finish its requests in flight. An unknown attempt is recorded as stopped, so that it
    /// can't start later.
    Stop { task: Id, attempt: Attempt },
    /// Limits an attempt to a percentage of its processors.
    Throttle {
        task: Id,
        attempt: Attempt,
        /// From 1 to 100.
        percent: u8,
    },
    /// Saves the progress of an attempt, so that the next attempt continues from it.
    Checkpoint { task: Id, attempt: Attempt },
    /// Removes an ended attempt from the reports, as its end is stored durably.
    Acknowledge { task: Id, attempt: Attempt },
}

/// The state of an attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum AttemptState {
    Running {
        /// Address on which a service instance serves requests.
        address: Option<SocketAddr>,
    },
    /// It was told to stop.
    Stopping,
    Ended {
        end: End,
    },
}

/// An attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    pub task: Id,
    pub attempt: Attempt,
    /// Resources committed to the attempt.
    pub resources: Resources,
    /// Whether it may be preempted by urgent work.
    pub patient: bool,
    pub run: AttemptState,
    /// Run time in milliseconds since the last checkpoint, which a stop would lose.
    #[serde(default)]
    pub unsaved_ms: u64,
    /// Most recent resource usage, if known.
    pub usage: Option<Resources>,
}

/// Response to `hold` and `batch`: the complete state of the worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the worker; a new one starts without tasks.
    pub incarnation: Incarnation,
    /// Time of this report in milliseconds, on the worker's monotonic clock.
    pub stamp_ms: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is about to be removed.
    pub leaving: bool,
    /// All attempts, including those that ended and are not acknowledged yet.
    pub tasks: Vec<AttemptReport>,
}

/// Response with status 409: the epoch was too low.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The epoch stored by the worker.
    pub epoch: Epoch,
    /// The holder with that epoch.
    pub holder: HostId,
}
