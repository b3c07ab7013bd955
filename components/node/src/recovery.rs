//! What an owner must know before it acts: that its claim still stands, and where the attempts of earlier owners
//! are.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use claim::Claim;
use facts::VisibleFrom;
use futures_util::future::join_all;
use model::task::Id;
use model::workload::Record;
use model::{Partition, WorkerId, WorkloadId};
use store::Use;
use wire::{Answer, InventoryAnswer, Request};

use crate::claims::drop_lost;
use crate::holds;
use crate::keys::{self, Place};
use crate::owner::Owned;
use crate::shared::Shared;

/// Checks the authority over a partition, and confirms it after a pause.
pub(crate) async fn may_act(shared: &Arc<Shared>, number: Partition) -> bool {
    let asked_at = Instant::now();
    let Some((valid, epoch)) =
        shared.partitions.with(number, |owned| (owned.authority.check(asked_at), owned.book.epoch()))
    else {
        return false;
    };
    if valid {
        return true;
    }
    events::emit!(shared.log, events::PAUSED, "partition" => number);
    if !confirm(shared, number, epoch).await {
        return false;
    }
    let now = Instant::now();
    shared
        .partitions
        .with(number, |owned| {
            owned.authority.confirm(asked_at, now);
            owned.authority.check(now)
        })
        .unwrap_or(false)
}

/// At the platform, or, when that is away, by the word of every live neighbour.
async fn confirm(shared: &Arc<Shared>, number: Partition, epoch: u64) -> bool {
    let place = Place::Claim(shared.data_centre().clone(), number);
    let key = format!("{}{}", keys::prefix(&shared.settings.cell), place.key());
    let read = shared.store.get(Use::Claims, &key).await;
    shared.platform_said(&read);
    if let Ok(entry) = read {
        let claim: Option<Claim> = keys::decode(&entry.value).ok();
        let mine = claim.is_some_and(|claim| claim.owner.as_ref() == Some(&shared.owner) && claim.epoch == epoch);
        if !mine {
            drop_lost(shared, number);
        }
        return mine;
    }
    let neighbours = shared.membership.neighbours();
    let calls = neighbours.iter().map(|member| shared.links.call(member.peer.peers, &Request::Epochs));
    let answers = join_all(calls).await;
    answers.into_iter().all(|answer| match answer {
        Ok(Answer::Epochs(epochs)) => epochs.iter().all(|(other, known)| *other != number || *known <= epoch),
        _ => false,
    })
}

/// Until all workers that an earlier owner may have used are accounted for: tells every holder the claim and
/// reads its inventory.
pub(crate) async fn recover(shared: &Arc<Shared>, number: Partition) {
    let recovering = shared.partitions.with(number, |owned| (!owned.book.is_recovered(), owned.book.epoch()));
    let Some((true, epoch)) = recovering else { return };
    let neighbours = shared.membership.neighbours();
    let request = Request::Announce { partition: number, epoch };
    let calls = neighbours.iter().map(|member| shared.links.call(member.peer.peers, &request));
    let mut inventories = vec![holds::announce(shared, number, epoch)];
    let mut missing: Option<String> = None;
    for (member, answer) in neighbours.iter().zip(join_all(calls).await) {
        match answer {
            Ok(Answer::Inventory(inventory)) => inventories.push(inventory),
            _ => missing = Some(member.peer.host.clone()),
        }
    }
    if inventories.iter().any(|inventory| inventory.epoch > epoch) {
        drop_lost(shared, number);
        return;
    }
    let missing = missing.or_else(|| unaccounted(shared, &inventories));
    let now = Instant::now();
    let workers = shared.listing.workers(shared.data_centre()).len();
    let ready = shared.partitions.with(number, |owned| {
        owned.book.set_worker_count(workers);
        for inventory in &inventories {
            take_inventory(owned, inventory, now);
        }
        match &missing {
            Some(name) => owned.book.set_recovery_reason(name),
            None => owned.book.finish_recovery(now),
        }
        missing.is_none()
    });
    if ready == Some(true) {
        events::emit!(shared.log, events::PARTITION_READY, "partition" => number, "epoch" => epoch);
        shared.look_again.notify_one();
    }
}

fn take_inventory(owned: &mut Owned, inventory: &InventoryAnswer, now: Instant) {
    let epochs: HashMap<&WorkerId, u64> = inventory.workers.iter().map(|(worker, epoch)| (worker, *epoch)).collect();
    for found in &inventory.tasks {
        let Some(epoch) = epochs.get(&found.fact.worker) else { continue };
        let shown = VisibleFrom { epoch: *epoch, version: inventory.version };
        let key = (found.task.clone(), found.attempt);
        // Two hosts may both tell of a worker that is moving between them: the later hold counts.
        if owned.shown.get(&key).is_some_and(|known| known.epoch > shown.epoch) {
            continue;
        }
        owned.shown.insert(key, shown);
        owned.book.observe(&found.task, found.attempt, &found.fact, false, now);
    }
}

/// A worker that may have tasks nobody told of; `None` when there is none.
fn unaccounted(shared: &Shared, inventories: &[InventoryAnswer]) -> Option<WorkerId> {
    if !shared.listing.known() {
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
    all.into_iter().find(|worker| !shared.listing.gone_for(worker, limits.lease + limits.margin, now))
}

pub(crate) fn life_of(task: &Id) -> (WorkloadId, u32) {
    (task.workload.clone(), task.life)
}

/// Attempts of workloads that are not known here may belong to a record that has not come yet: they are
/// stopped only when the platform says that there is none.
pub(crate) async fn confirm_strays(shared: &Arc<Shared>, number: Partition) {
    let doubtful = shared.partitions.with(number, |owned| {
        let lives: BTreeSet<(WorkloadId, u32)> = owned.book.orphans().map(|order| life_of(&order.task)).collect();
        owned.unrecorded.retain(|life| lives.contains(life));
        lives.difference(&owned.unrecorded).cloned().collect::<Vec<_>>()
    });
    for (workload, life) in doubtful.unwrap_or_default() {
        let known = shared.configuration.workload(&workload);
        let outdated = known.is_some_and(|known| known.record.life >= life);
        if outdated || !is_recorded(shared, &workload, life).await {
            shared.partitions.with(number, |owned| owned.unrecorded.insert((workload, life)));
        }
    }
}

/// Whether the platform has a record of this life of a workload, or can't say.
async fn is_recorded(shared: &Shared, workload: &str, life: u32) -> bool {
    let key = format!("{}{}", keys::prefix(&shared.settings.cell), Place::Workload(workload.to_owned()).key());
    let read = shared.store.get(Use::Claims, &key).await;
    shared.platform_said(&read);
    let Ok(entry) = read else { return true };
    let record: Option<Record> = keys::decode(&entry.value).ok();
    record.is_some_and(|record| record.life == life)
}
