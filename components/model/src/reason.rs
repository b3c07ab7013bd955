//! Why something waits, was refused, parked or stopped. Shown by `why`.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{HostId, Resources, TeamId, WorkerId};

/// A typed reason; its `Display` is the sentence that operators read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reason {
    /// It has not been looked at yet.
    NotLookedAt,
    /// No worker has room now; the best one is named with what it lacks.
    NoRoom {
        /// The worker that came nearest.
        nearest: WorkerId,
        /// What is free there.
        free: Resources,
    },
    /// There is no live worker in the data centre.
    NoWorkers,
    /// No worker is large enough, even when empty.
    NeverFits {
        /// The worker that came nearest.
        largest: WorkerId,
        /// All that it offers.
        capacity: Resources,
        /// What was asked.
        asked: Resources,
    },
    /// The gang needs room for all of its tasks at once.
    GangIncomplete {
        /// Tasks that would fit now.
        fitting: u32,
        /// Tasks that must start together.
        needed: u32,
    },
    /// The team has used up its quota.
    OverQuota {
        /// The team.
        team: TeamId,
        /// Its quota in this data centre.
        quota: Resources,
    },
    /// The last attempt may still be running somewhere.
    InDoubt {
        /// The worker that can't be accounted for.
        worker: WorkerId,
    },
    /// Failed attempts are followed by a pause.
    BackOff {
        /// Failures in a row.
        failures: u32,
        /// Until the next attempt.
        wait: Duration,
    },
    /// It failed on several workers and won't be tried again until it is changed.
    Parked {
        /// Failures in a row.
        failures: u32,
        /// Number of different workers.
        workers: u32,
        /// The last failure, in the worker's words.
        last: String,
    },
    /// No live host owns the partition yet.
    NoOwner,
    /// The owner is rebuilding its view after a takeover.
    Recovering {
        /// A host or worker that has not answered yet.
        waiting_for: HostId,
    },
    /// Stopped to make room for urgent work.
    Preempted,
    /// An operator cancelled it.
    Cancelled,
    /// It runs, on the named worker.
    Running {
        /// The worker.
        worker: WorkerId,
    },
    /// It is being started on the named worker.
    Starting {
        /// The worker.
        worker: WorkerId,
    },
    /// It ran to its end.
    Finished,
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::NotLookedAt => write!(out, "accepted, not looked at yet"),
            Reason::NoRoom { nearest, free } => {
                write!(out, "no worker has room now; {nearest} comes nearest with {free} free")
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
                write!(out, "may still run on {worker}, which can't be reached; waits until it has surely ended")
            }
            Reason::BackOff { failures, wait } => {
                write!(out, "failed {failures} times in a row; next attempt in {wait:.1?}")
            }
            Reason::Parked { failures, workers, last } => {
                write!(out, "parked after {failures} failures on {workers} workers; last: {last}")
            }
            Reason::NoOwner => write!(out, "no live host owns its partition yet"),
            Reason::Recovering { waiting_for } => {
                write!(out, "its owner is rebuilding its view and waits for {waiting_for}")
            }
            Reason::Preempted => write!(out, "stopped to make room for urgent work; runs again"),
            Reason::Cancelled => write!(out, "cancelled by an operator"),
            Reason::Running { worker } => write!(out, "running on {worker}"),
            Reason::Starting { worker } => write!(out, "being started on {worker}"),
            Reason::Finished => write!(out, "ran to its end"),
        }
    }
}

impl Reason {
    /// What would change it, for the operator; empty when nothing needs to.
    pub fn remedy(&self) -> &'static str {
        match self {
            Reason::NoRoom { .. } | Reason::GangIncomplete { .. } => {
                "it starts when work ends; or cancel patient work, or add workers"
            }
            Reason::NoWorkers => "add workers or check the platform's host list",
            Reason::NeverFits { .. } => "ask for less per task, or add a larger worker",
            Reason::OverQuota { .. } => "raise the quota, or cancel other work of the team",
            Reason::InDoubt { .. } => "bring the worker back, or have the host list drop it",
            Reason::Parked { .. } => "mend it and submit or change it again",
            Reason::NoOwner | Reason::Recovering { .. } => "wait; see `show hosts` for hosts that are away",
            _ => "",
        }
    }
}
