//! Provides the gateway with the addresses of service instances and the hosts that send requests to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway::{RelayHost, Topology};
use model::WorkloadId;
use request::Instance;
use wire::TaskState;

use crate::shared::Shared;

/// Minimum time between two updates of the gateway.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// How often the gateway gets the hosts even if no instance has changed.
const HOST_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// One in this many updates contains the instances even if none has changed.
const FULL_REFRESH_EVERY: u32 = 20;

/// Requests an update of the gateway, because instances may have changed.
pub(crate) fn notify_changed(shared: &Shared) {
    shared.services_changed.notify_one();
}

/// Keeps the gateway up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    for round in 0u32.. {
        let changed = tokio::time::timeout(HOST_REFRESH_INTERVAL, shared.services_changed.notified()).await.is_ok();
        if changed || round.is_multiple_of(FULL_REFRESH_EVERY) {
            shared.gateway.update_instances(instances(&shared));
        }
        shared.gateway.update_hosts(topology(&shared));
        tokio::time::sleep(MIN_REFRESH_INTERVAL).await;
    }
}

fn instances(shared: &Shared) -> BTreeMap<WorkloadId, Vec<Instance>> {
    let mut services: BTreeMap<WorkloadId, Vec<Instance>> = BTreeMap::new();
    for (task, attempt, fact) in shared.facts.tasks() {
        let TaskState::Running(Some(address)) = fact.state else { continue };
        let instance = Instance { name: format!("{task} {attempt}"), address };
        services.entry(task.workload).or_default().push(instance);
    }
    services
}

fn topology(shared: &Shared) -> Topology {
    let slot_hosts = shared.membership.sharing_hosts();
    let relay_hosts = shared.membership.reachable().into_iter().map(|member| RelayHost {
        host: member.peer.host.clone(),
        data_centre: member.peer.data_centre.clone(),
        relay: member.peer.relay,
        serving: shared.membership.state(&member.peer.host) == Some(member::HostState::Live),
    });
    let (now, lease) = (Instant::now(), shared.settings.tasks.lease);
    let delisted = |host: &str| shared.listing.missing_for(host, lease, now);
    Topology {
        slot_hosts,
        key_owners: shared.membership.responsible_hosts(delisted),
        relay_hosts: relay_hosts.collect(),
        has_quorum: shared.membership.has_authority(delisted),
    }
}
