//! State shared by the modules of an entry host. Each module has its own locks. They are acquired in the order
//! partition, ledger, facts, and none is held across an await.

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
use store::{Budget, HostLister, Store};
use tokio::sync::{Notify, watch};

use crate::commit::Committer;
use crate::configuration::Configuration;
use crate::held_workers::HeldWorkers;
use crate::listing::Listing;
use crate::membership::Membership;
use crate::owner::Partitions;
use crate::peers::PeerClient;

pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) own: Peer,
    /// This host with its present incarnation, as written into claims.
    pub(crate) owner: Owner,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) lister: Arc<dyn HostLister>,
    pub(crate) budget: Arc<Budget>,
    /// Whether the last call to the platform was answered.
    pub(crate) platform_reachable: AtomicBool,
    pub(crate) peer_client: PeerClient,
    pub(crate) membership: Membership,
    pub(crate) configuration: Configuration,
    pub(crate) listing: Listing,
    pub(crate) facts: Facts,
    pub(crate) held_workers: HeldWorkers,
    pub(crate) partitions: Partitions,
    pub(crate) committer: Committer,
    pub(crate) gateway: Arc<Gateway>,
    /// Notified when waiting work may be able to start.
    pub(crate) schedule_needed: Notify,
    /// Notified when a neighbour has newer facts.
    pub(crate) facts_pull_needed: Notify,
    /// Notified when service instances may have changed.
    pub(crate) services_changed: Notify,
    pub(crate) stopping: watch::Sender<bool>,
}

impl Shared {
    pub(crate) fn data_centre(&self) -> &String {
        &self.own.data_centre
    }

    /// The longest time between two reads of the clock that is not considered a pause.
    pub(crate) fn max_clock_gap(&self) -> Duration {
        self.settings.membership.dead_after
    }

    pub(crate) fn ledger_limits(&self) -> ledger::LeaseLimits {
        let lease = self.settings.tasks.lease;
        ledger::LeaseLimits { lease, margin: lease / 10 }
    }

    pub(crate) fn record_platform_result<T>(&self, outcome: &Result<T, store::StoreError>) {
        match outcome {
            Ok(_) | Err(store::StoreError::Refused(_)) => self.platform_reachable.store(true, Ordering::Relaxed),
            Err(store::StoreError::NotSent(_) | store::StoreError::Unknown(_)) => {
                self.platform_reachable.store(false, Ordering::Relaxed);
            }
            Err(store::StoreError::OverBudget | store::StoreError::TooLarge(..)) => {}
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// The incarnation of this process. Higher at each later start of the host, provided that its clock isn't set back.
pub(crate) fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64)
}
