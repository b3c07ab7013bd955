//! What the parts of an entry host share. Each part has its own state under its own lock; locks are taken in
//! the order partition, ledger, facts, and none is held across an await.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use claim::Owner;
use facts::Facts;
use gateway::Gateway;
use member::Peer;
use metrics::Metrics;
use settings::Settings;
use slog::Logger;
use store::{Budget, Lister, Store};
use tokio::sync::{Notify, watch};

use crate::commit::Committer;
use crate::configuration::Configuration;
use crate::holds::Holds;
use crate::listing::Listing;
use crate::membership::Membership;
use crate::owner::Partitions;
use crate::peers::Links;

pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) own: Peer,
    /// This host in its present life.
    pub(crate) owner: Owner,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) lister: Arc<dyn Lister>,
    pub(crate) budget: Arc<Budget>,
    /// Whether the platform answered the last call.
    pub(crate) platform_answers: AtomicBool,
    pub(crate) links: Links,
    pub(crate) membership: Membership,
    pub(crate) configuration: Configuration,
    pub(crate) listing: Listing,
    pub(crate) facts: Facts,
    pub(crate) holds: Holds,
    pub(crate) partitions: Partitions,
    pub(crate) committer: Committer,
    pub(crate) gateway: Arc<Gateway>,
    /// Set when something may let waiting work start.
    pub(crate) look_again: Notify,
    /// Set when a neighbour has newer facts.
    pub(crate) facts_behind: Notify,
    /// Set when service instances may have changed.
    pub(crate) services_changed: Notify,
    pub(crate) stopping: watch::Sender<bool>,
}

impl Shared {
    pub(crate) fn data_centre(&self) -> &String {
        &self.own.data_centre
    }

    /// Longest gap between two looks at the clock that is not a pause.
    pub(crate) fn pause_bound(&self) -> Duration {
        self.settings.membership.dead_after
    }

    pub(crate) fn ledger_limits(&self) -> ledger::LeaseLimits {
        let lease = self.settings.tasks.lease;
        ledger::LeaseLimits { lease, margin: lease / 10 }
    }

    pub(crate) fn platform_said<T>(&self, outcome: &Result<T, store::Fault>) {
        match outcome {
            Ok(_) | Err(store::Fault::Refused(_)) => self.platform_answers.store(true, Ordering::Relaxed),
            Err(store::Fault::NotSent(_) | store::Fault::Unknown(_)) => {
                self.platform_answers.store(false, Ordering::Relaxed);
            }
            Err(store::Fault::OverBudget | store::Fault::TooLarge(..)) => {}
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// A number that a later start of the same host exceeds, as long as clocks don't go back.
pub(crate) fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64)
}
