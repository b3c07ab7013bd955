//! Checks that an owner performs before it acts: that its claim is still valid, and where the attempts of earlier
//! owners are.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use claim::Claim;
use facts::VisibleFrom;
use futures_util::future::join_all;
use model::task::Id;
use model::workload::Record;
use model::{Partition, WorkerId, WorkloadId};
use store::Purpose;
use wire::{Answer, InventoryAnswer, Request};

use crate::claims::{ReleaseReason, drop_partition};
use crate::held_workers;
use crate::keys::{self, RecordKey};
use crate::owner::OwnedPartition;
use crate::shared::Shared;

/// Checks the authority over a partition. After a pause of this host, or after a release without a known outcome, the
/// claim is confirmed first.
pub(crate) async fn check_authority(shared: &Arc<Shared>, number: Partition) -> bool {
    let now = Instant::now();
    let state = shared.partitions.with(number, |owned| {
        (owned.may_act(now), owned.releasing, owned.authority.is_revoked(), owned.tracker.epoch())
    });
    let Some((may_act, releasing, revoked, epoch)) = state else { return false };
    if may_act || releasing {
        return may_act;
    }
    if !revoked {
        events::emit!(shared.log, events::PAUSED, "partition" => number);
    }
    let Some(asked_at) = confirm_claim(shared, number, epoch).await else { return false };
    let now = Instant::now();
    let may_act = shared.partitions.with(number, |owned| {
        owned.authority.confirm(asked_at, now);
        owned.may_act(now)
    });
    may_act.unwrap_or(false)
}

/// Confirms a claim with the platform or, if it can't be reached or is slow, with the neighbours. In that case each of
/// them must answer, and none may know a higher epoch. Returns when the requests that confirmed it were sent: the time
/// that the platform took doesn't count for the neighbours.
async fn confirm_claim(shared: &Arc<Shared>, number: Partition, epoch: u64) -> Option<Instant> {
    let asked_platform_at = Instant::now();
    let record_key = RecordKey::Claim(shared.data_centre().clone(), number);
    let key = format!("{}{}", keys::cell_prefix(&shared.settings.cell), record_key.key());
    let read = shared.store.get(Purpose::Claims, &key).await;
    shared.record_platform_result(&read);
    if let Ok(entry) = read {
        let claim: Option<Claim> = keys::decode(&entry.value).ok();
        let is_own = claim.is_some_and(|claim| claim.owner.as_ref() == Some(&shared.owner) && claim.epoch == epoch);
        if !is_own {
            drop_partition(shared, number, ReleaseReason::NotRecorded);
            return None;
        }
        if asked_platform_at.elapsed() <= shared.max_clock_gap() {
            return Some(asked_platform_at);
        }
    }
    let asked_neighbours_at = Instant::now();
    let neighbours = shared.membership.neighbours();
    let calls = neighbours.iter().map(|member| shared.peer_client.call(member.peer.peers, &Request::Epochs));
    let answers = join_all(calls).await;
    let confirmed = answers.into_iter().all(|answer| match answer {
        Ok(Answer::Epochs(epochs)) => epochs.iter().all(|(other, known)| *other != number || *known <= epoch),
        _ => false,
    });
    confirmed.then_some(asked_neighbours_at)
}

/// Announces the claim on a partition to all holders and reads their inventories. This is repeated until all workers
/// that an earlier owner may have used are accounted for.
pub(crate) async fn recover(shared: &Arc<Shared>, number: Partition) {
    let recovering = shared.partitions.with(number, |owned| (!owned.tracker.is_recovered(), owned.tracker.epoch()));
    let Some((true, epoch)) = recovering else { return };
    let neighbours = shared.membership.neighbours();
    let request = Request::Announce { partition: number, epoch };
    let calls = neighbours.iter().map(|member| shared.peer_client.call(member.peer.peers, &request));
    let mut inventories = vec![held_workers::announce(shared, number, epoch)];
    let mut missing: Option<String> = None;
    for (member, answer) in neighbours.iter().zip(join_all(calls).await) {
        match answer {
            Ok(Answer::Inventory(inventory)) => inventories.push(inventory),
            _ => missing = Some(member.peer.host.clone()),
        }
    }
    if inventories.iter().any(|inventory| inventory.epoch > epoch) {
        drop_partition(shared, number, ReleaseReason::Superseded);
        return;
    }
    let missing = missing.or_else(|| find_unaccounted_worker(shared, &inventories));
    let now = Instant::now();
    let workers = shared.listing.workers(shared.data_centre()).len();
    let ready = shared.partitions.with(number, |owned| {
        owned.tracker.set_worker_count(workers);
        for inventory in &inventories {
            apply_inventory(owned, inventory, now);
        }
        match &missing {
            Some(name) => owned.tracker.set_recovery_reason(name),
            None => owned.tracker.finish_recovery(now),
        }
        missing.is_none()
    });
    if ready == Some(true) {
        events::emit!(shared.log, events::PARTITION_READY, "partition" => number, "epoch" => epoch);
        shared.schedule_needed.notify_one();
    }
}

fn apply_inventory(owned: &mut OwnedPartition, inventory: &InventoryAnswer, now: Instant) {
    let epochs: HashMap<&WorkerId, u64> = inventory.workers.iter().map(|(worker, epoch)| (worker, *epoch)).collect();
    for inventoried in &inventory.tasks {
        let Some(epoch) = epochs.get(&inventoried.fact.worker) else { continue };
        let visible_from = VisibleFrom { epoch: *epoch, version: inventory.version };
        let key = (inventoried.task.clone(), inventoried.attempt);
        // Two hosts may both report a worker that is moving between them. The hold with the higher epoch counts.
        if owned.visible_from.get(&key).is_some_and(|known| known.epoch > visible_from.epoch) {
            continue;
        }
        owned.visible_from.insert(key, visible_from);
        owned.tracker.observe(&inventoried.task, inventoried.attempt, &inventoried.fact, false, now);
    }
}

/// Returns a worker that may run tasks that no inventory contains, if there is one.
fn find_unaccounted_worker(shared: &Shared, inventories: &[InventoryAnswer]) -> Option<WorkerId> {
    if !shared.listing.is_known() {
        return Some("the list of hosts".to_owned());
    }
    let limits = shared.ledger_limits();
    let now = Instant::now();
    let covered: BTreeSet<&WorkerId> =
        inventories.iter().flat_map(|inventory| inventory.workers.iter().map(|(worker, _)| worker)).collect();
    let listed = shared.listing.workers(shared.data_centre()).into_iter().map(|(worker, _)| worker);
    let known = shared.facts.workers().into_iter().map(|(worker, _, _)| worker);
    let mut all: BTreeSet<WorkerId> = listed.chain(known).collect();
    all.retain(|worker| !covered.contains(worker));
    all.into_iter().find(|worker| !shared.listing.missing_for(worker, limits.lease + limits.margin, now))
}

pub(crate) fn life_of(task: &Id) -> (WorkloadId, u32) {
    (task.workload.clone(), task.life)
}

/// Determines which attempts of unknown workloads may be stopped. Their record may not have arrived here yet, so an
/// attempt may be stopped only after the platform has confirmed that there is none.
pub(crate) async fn confirm_orphans(shared: &Arc<Shared>, number: Partition) {
    let unconfirmed = shared.partitions.with(number, |owned| {
        let lives: BTreeSet<(WorkloadId, u32)> = owned.tracker.orphans().map(|order| life_of(&order.task)).collect();
        owned.unrecorded_lives.retain(|life| lives.contains(life));
        lives.difference(&owned.unrecorded_lives).cloned().collect::<Vec<_>>()
    });
    for (workload, life) in unconfirmed.unwrap_or_default() {
        let known = shared.configuration.workload(&workload);
        let outdated = known.is_some_and(|known| known.record.life >= life);
        if outdated || !is_recorded(shared, &workload, life).await {
            shared.partitions.with(number, |owned| owned.unrecorded_lives.insert((workload, life)));
        }
    }
}

/// Whether the platform has a record of this life of a workload. Returns true if it can't be reached.
async fn is_recorded(shared: &Shared, workload: &str, life: u32) -> bool {
    let key = format!("{}{}", keys::cell_prefix(&shared.settings.cell), RecordKey::Workload(workload.to_owned()).key());
    let read = shared.store.get(Purpose::Claims, &key).await;
    shared.record_platform_result(&read);
    let Ok(entry) = read else { return true };
    let record: Option<Record> = keys::decode(&entry.value).ok();
    record.is_some_and(|record| record.life == life)
}
