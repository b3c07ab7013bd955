//! A task and its current phase.

use std::net::SocketAddr;
use std::time::Instant;

use model::task::Attempt;
use model::{Reason, WorkerId};

/// The phase of a task, as known to the partition owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// A previous owner may have started the task; no worker has reported on it yet.
    Unknown,
    /// No attempt is running, and the task can be started.
    Waiting,
    /// A start order was sent, and the worker's holder has not answered yet.
    Ordered {
        /// The worker chosen for the attempt.
        worker: WorkerId,
        /// When the order was last sent.
        sent_at: Instant,
    },
    /// The worker's holder has committed capacity for the attempt.
    Starting {
        /// The worker that starts the attempt.
        worker: WorkerId,
    },
    /// The attempt is running.
    Running {
        /// The worker that runs the attempt.
        worker: WorkerId,
        /// When this owner first saw it running.
        since: Instant,
        /// The address of a service instance.
        address: Option<SocketAddr>,
    },
    /// The attempt was asked to stop.
    Stopping {
        /// The worker that runs the attempt.
        worker: WorkerId,
    },
    /// An attempt completed successfully.
    Finished,
}

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its current phase.
    pub phase: Phase,
    /// Its latest attempt; zero before the first.
    pub attempt: Attempt,
    /// When it last began to wait for a start.
    pub waiting_since: Instant,
    /// Why it waits; meaningful only in the phases `Unknown` and `Waiting`.
    pub reason: Reason,
}

impl Task {
    pub(crate) fn new(phase: Phase, now: Instant) -> Task {
        Task { phase, attempt: Attempt::default(), waiting_since: now, reason: Reason::NotLookedAt }
    }

    /// The worker that has, or may have, the latest attempt.
    pub fn worker(&self) -> Option<&WorkerId> {
        match &self.phase {
            Phase::Ordered { worker, .. }
            | Phase::Starting { worker }
            | Phase::Running { worker, .. }
            | Phase::Stopping { worker } => Some(worker),
            Phase::Unknown | Phase::Waiting | Phase::Finished => None,
        }
    }

    /// Whether an attempt may still be running.
    pub fn may_be_live(&self) -> bool {
        !matches!(self.phase, Phase::Waiting | Phase::Finished)
    }
}
