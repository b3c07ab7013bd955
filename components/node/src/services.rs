//! Tells the gateway where the instances of each service answer, and which hosts share them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway::{Neighbour, Topology};
use model::WorkloadId;
use request::Instance;
use wire::TaskState;

use crate::shared::Shared;

/// Two refreshes keep at least this distance.
const SPACING: Duration = Duration::from_millis(20);
/// The gateway is told the hosts this often even when nothing changed.
const LOOK: Duration = Duration::from_millis(100);
/// It is told all instances anew after so many looks.
const ALL_EVERY: u32 = 20;

/// Notes that instances may have changed.
pub(crate) fn refresh(shared: &Shared) {
    shared.services_changed.notify_one();
}

/// Keeps the gateway up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    for look in 0u32.. {
        let changed = tokio::time::timeout(LOOK, shared.services_changed.notified()).await.is_ok();
        if changed || look.is_multiple_of(ALL_EVERY) {
            shared.gateway.update_instances(instances(&shared));
        }
        shared.gateway.update_hosts(topology(&shared));
        tokio::time::sleep(SPACING).await;
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
    let hosts = shared.membership.sharing();
    let neighbours = shared.membership.reachable().into_iter().map(|member| Neighbour {
        host: member.peer.host.clone(),
        data_centre: member.peer.data_centre.clone(),
        relay: member.peer.relay,
        live: shared.membership.state(&member.peer.host) == Some(member::HostState::Live),
    });
    let (now, lease) = (Instant::now(), shared.settings.tasks.lease);
    let dropped = |host: &str| shared.listing.gone_for(host, lease, now);
    Topology {
        hosts,
        homes: shared.membership.homes(dropped),
        neighbours: neighbours.collect(),
        certain: shared.membership.has_authority(dropped),
    }
}
