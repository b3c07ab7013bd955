//! One task and where it stands.

use std::net::SocketAddr;
use std::time::Instant;

use model::task::Attempt;
use model::{Reason, WorkerId};

/// Where a task stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// It may have been started by an earlier owner: nothing is known yet.
    Unknown,
    /// It has surely no running attempt.
    Waiting,
    /// An attempt was ordered; whether it was committed is not known yet.
    Ordered {
        /// Where.
        worker: WorkerId,
        /// When the order was last sent.
        sent_at: Instant,
    },
    /// The worker's holder has committed the attempt.
    Starting {
        /// Where.
        worker: WorkerId,
    },
    /// It runs.
    Running {
        /// Where.
        worker: WorkerId,
        /// Since when, as seen here.
        since: Instant,
        /// Where a service instance answers.
        address: Option<SocketAddr>,
    },
    /// It was told to stop.
    Stopping {
        /// Where.
        worker: WorkerId,
    },
    /// It ran to its end.
    Finished,
}

/// A task of a workload's share.
#[derive(Clone, Debug)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// Its latest attempt; zero before the first.
    pub attempt: Attempt,
    /// Since when it has waited for a start.
    pub waiting_since: Instant,
    /// Why it waits, while it does.
    pub reason: Reason,
}

impl Task {
    pub(crate) fn new(phase: Phase, now: Instant) -> Task {
        Task { phase, attempt: Attempt::default(), waiting_since: now, reason: Reason::NotLookedAt }
    }

    /// The worker that has, or may have, its latest attempt.
    pub fn worker(&self) -> Option<&WorkerId> {
        match &self.phase {
            Phase::Ordered { worker, .. }
            | Phase::Starting { worker }
            | Phase::Running { worker, .. }
            | Phase::Stopping { worker } => Some(worker),
            Phase::Unknown | Phase::Waiting | Phase::Finished => None,
        }
    }

    /// Whether an attempt may be alive.
    pub fn may_be_live(&self) -> bool {
        !matches!(self.phase, Phase::Waiting | Phase::Finished)
    }
}
