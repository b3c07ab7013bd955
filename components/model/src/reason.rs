//! Why a task or workload is waiting, was rejected, parked or stopped. Shown by the `why` command.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{HostId, Resources, TeamId, WorkerId};

/// A typed reason. Its `Display` output is the sentence shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reason {
    /// Accepted, but not considered by the scheduler yet.
    NotLookedAt,
    /// No worker has enough free resources now.
    NoRoom {
        /// The worker that could cover the largest part of the demand.
        nearest: WorkerId,
        /// Free resources of that worker.
        free: Resources,
    },
    /// The data centre has no live worker.
    NoWorkers,
    /// No worker is large enough, even if it were empty.
    NeverFits {
        /// The worker that could cover the largest part of the demand.
        largest: WorkerId,
        /// Total capacity of that worker.
        capacity: Resources,
        /// Resources asked for by one task.
        asked: Resources,
    },
    /// There is not enough room for all tasks of the gang at once.
    GangIncomplete {
        /// Number of tasks that fit now.
        fitting: u32,
        /// Number of tasks that must start together.
        needed: u32,
    },
    /// The team has used up its quota.
    OverQuota {
        team: TeamId,
        /// Quota of the team in this data centre.
        quota: Resources,
    },
    /// The previous attempt may still be running.
    InDoubt {
        /// The unreachable worker that may still run it.
        worker: WorkerId,
    },
    /// The next attempt is delayed after failures.
    BackOff {
        /// Number of consecutive failures.
        failures: u32,
        /// Time until the next attempt.
        wait: Duration,
    },
    /// It failed on several workers and is not retried until an operator changes it.
    Parked {
        /// Number of consecutive failures.
        failures: u32,
        /// Number of different workers on which it failed.
        workers: u32,
        /// Error message of the last failure, from the worker.
        last: String,
    },
    /// No live host owns the partition yet.
    NoOwner,
    /// The new owner of the partition is rebuilding its state after a takeover.
    Recovering {
        /// A host or worker that has not answered yet.
        waiting_for: HostId,
    },
    /// Stopped to free resources for urgent work.
    Preempted,
    /// Cancelled by an operator.
    Cancelled,
    Running {
        worker: WorkerId,
    },
    Starting {
        worker: WorkerId,
    },
    /// Ran to completion.
    Finished,
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::NotLookedAt => write!(out, "accepted, not scheduled yet"),
            Reason::NoRoom { nearest, free } => {
                write!(out, "no worker has room now; the closest is {nearest} with {free} free")
            }
            Reason::NoWorkers => write!(out, "the data centre has no live worker"),
            Reason::NeverFits { largest, capacity, asked } => {
                write!(out, "can never run: largest worker {largest} has {capacity}, asked {asked}")
            }
            Reason::GangIncomplete { fitting, needed } => {
                write!(out, "all {needed} tasks must start together; room for {fitting} now")
            }
            Reason::OverQuota { team, quota } => write!(out, "team {team} has used up its quota of {quota}"),
            Reason::InDoubt { worker } => {
                write!(
                    out,
                    "may still run on {worker}, which can't be reached; waits until it is certain to have ended"
                )
            }
            Reason::BackOff { failures, wait } => {
                write!(out, "failed {failures} times in a row; next attempt in {wait:.1?}")
            }
            Reason::Parked { failures, workers, last } => {
                write!(out, "parked after {failures} failures on {workers} workers; last: {last}")
            }
            Reason::NoOwner => write!(out, "no live host owns its partition yet"),
            Reason::Recovering { waiting_for } => {
                write!(out, "its owner is rebuilding its state and waits for {waiting_for}")
            }
            Reason::Preempted => write!(out, "stopped to make room for urgent work; runs again"),
            Reason::Cancelled => write!(out, "cancelled by an operator"),
            Reason::Running { worker } => write!(out, "running on {worker}"),
            Reason::Starting { worker } => write!(out, "starting on {worker}"),
            Reason::Finished => write!(out, "ran to completion"),
        }
    }
}

impl Reason {
    /// What the operator can do about it; empty if nothing is needed.
    pub fn remedy(&self) -> &'static str {
        match self {
            Reason::NoRoom { .. } | Reason::GangIncomplete { .. } => {
                "starts when other work ends; to speed it up, cancel patient work or add workers"
            }
            Reason::NoWorkers => "add workers or check the platform's host list",
            Reason::NeverFits { .. } => "ask for less per task, or add a larger worker",
            Reason::OverQuota { .. } => "raise the quota, or cancel other work of the team",
            Reason::InDoubt { .. } => "bring the worker back, or remove it from the host list",
            Reason::Parked { .. } => "fix it, then submit or change it again",
            Reason::NoOwner | Reason::Recovering { .. } => "wait; `show hosts` shows which hosts are live",
            _ => "",
        }
    }
}
