//! The JSON bodies exchanged with a worker.

use std::net::SocketAddr;

use model::task::{Attempt, End, Id};
use model::{Epoch, HostId, Incarnation, Resources};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/hold`: takes the worker over when `epoch` is above the one it keeps.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hold {
    /// The entry host that wants to hold it.
    pub holder: HostId,
    /// Epoch of the hold.
    pub epoch: Epoch,
}

/// Body of `POST /v1/batch`: renews the lease of every task and carries commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of the hold.
    pub epoch: Epoch,
    /// Grows with each batch under one epoch; a worker refuses one that was overtaken by a later one.
    pub sequence: u64,
    /// Stamp of the last report that the holder received. Leases count from it, by the worker's own clock, so
    /// that a batch that was held up on its way prolongs nothing beyond what its sender reckons with.
    pub stamp_ms: u64,
    /// Lease of all tasks from the stamp on, in milliseconds.
    pub lease_ms: u64,
    /// Carried out in order.
    pub commands: Vec<Command>,
}

/// One command. Repeating one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command")]
pub enum Command {
    /// Start an attempt, unless it is known already.
    Start {
        /// What.
        task: Id,
        /// Which attempt.
        attempt: Attempt,
        /// Its size.
        resources: Resources,
        /// The program.
        run: String,
        /// Whether it answers callers; the worker then reports its address.
        service: bool,
        /// Whether it may be stopped for urgent work; kept, so that the next holder knows it.
        patient: bool,
    },
    /// Stop an attempt; it may finish what it has in flight. One that is not known is recorded as stopped, so
    /// that it can't start afterwards.
    Stop {
        /// What.
        task: Id,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Run an attempt at a part of its processors, in percent.
    Throttle {
        /// What.
        task: Id,
        /// Which attempt.
        attempt: Attempt,
        /// From 1 to 100.
        percent: u8,
    },
    /// Save an attempt's progress, so that the next one goes on from there.
    Checkpoint {
        /// What.
        task: Id,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Forget an ended attempt; its end is durable.
    Acknowledge {
        /// What.
        task: Id,
        /// Which attempt.
        attempt: Attempt,
    },
}

/// The state of an attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum AttemptState {
    /// It runs.
    Running {
        /// Where a service instance answers.
        address: Option<SocketAddr>,
    },
    /// It has been told to stop.
    Stopping,
    /// It has ended.
    Ended {
        /// How.
        end: End,
    },
}

/// An attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// What.
    pub task: Id,
    /// Which attempt.
    pub attempt: Attempt,
    /// Its committed size.
    pub resources: Resources,
    /// Whether it may be stopped for urgent work.
    pub patient: bool,
    /// How it is.
    pub run: AttemptState,
    /// Run time since the last checkpoint, which a stop would lose, in milliseconds.
    #[serde(default)]
    pub unsaved_ms: u64,
    /// Late usage: what it was seen to use, when that is known.
    pub usage: Option<Resources>,
}

/// The answer to `hold` and `batch`: all that the worker has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The worker's life; a new one starts empty.
    pub incarnation: Incarnation,
    /// The worker's monotonic clock, in milliseconds, when it made this report.
    pub stamp_ms: u64,
    /// All that the worker offers.
    pub capacity: Resources,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// All attempts, ended ones until they are acknowledged.
    pub tasks: Vec<AttemptReport>,
}

/// The answer with status 409: the epoch was too low.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The epoch that the worker keeps.
    pub epoch: Epoch,
    /// Its holder.
    pub holder: HostId,
}
