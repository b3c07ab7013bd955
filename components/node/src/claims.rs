//! Claims on partitions: which to take or give up, and their records at the platform.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use claim::{Authority, Claim, Step, View};
use jobs::JobTracker;
use member::{HostState, Presence};
use model::workload::partition;
use model::{Partition, Revision};
use store::{Compare, Put, Txn, Use};
use uuid::Uuid;

use crate::keys::{self, Place};
use crate::owner::Owned;
use crate::shared::Shared;

/// A claim is acted on only with the configuration of its revision in force, which comes within this time.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Partitions stay with a live owner for so long after another host should have them, so that hosts that
/// come and go don't make them move to and fro.
const SETTLED: Duration = Duration::from_secs(2);

/// What to do about each partition.
pub(crate) fn steps(shared: &Shared) -> Vec<(Partition, Step)> {
    if shared.configuration.revision() == 0 {
        return Vec::new();
    }
    let hosts = shared.membership.live_in(shared.data_centre());
    let settled = {
        let mut settled = shared.partitions.settled.lock();
        if settled.0 != hosts {
            *settled = (hosts.clone(), Instant::now());
        }
        settled.1.elapsed() >= SETTLED
    };
    let mut steps = Vec::new();
    for number in shared.partitions.numbers() {
        let key = format!("partition {number}");
        let claim = shared.configuration.claim(shared.data_centre(), number).map(|(claim, _)| claim);
        let view = View {
            claim: claim.as_ref(),
            own: &shared.owner,
            winner: member::highest_ranked(&key, hosts.iter().map(String::as_str)),
            owner_live: claim.as_ref().is_some_and(|claim| owner_live(shared, claim)),
        };
        match claim::next_step(view) {
            Step::Leave => drop_lost(shared, number),
            Step::Release if !settled && shared.membership.presence() == Presence::Serving => {}
            step => steps.push((number, step)),
        }
    }
    steps
}

fn owner_live(shared: &Shared, claim: &Claim) -> bool {
    let Some(owner) = &claim.owner else { return false };
    if *owner == shared.owner {
        return true;
    }
    let state = shared.membership.state(&owner.host);
    let same_life = shared.membership.get(&owner.host).is_some_and(|member| member.incarnation == owner.incarnation);
    same_life && matches!(state, Some(HostState::Live | HostState::Leaving))
}

/// The record names another owner: this host has none of it any more.
pub(crate) fn drop_lost(shared: &Shared, number: Partition) {
    if shared.partitions.set(number, None) {
        events::emit!(shared.log, events::PARTITION_RELEASED, "partition" => number);
    }
}

/// Claims partitions, all in one transaction; when that fails, each on its own.
pub(crate) async fn take(shared: &Arc<Shared>, steps: &[(Partition, Step)]) {
    let mut wanted: Vec<(Partition, Claim)> = Vec::new();
    for (number, step) in steps {
        let owned_epoch = shared.partitions.with(*number, |owned| owned.book.epoch());
        match step {
            Step::Take(epoch) if owned_epoch.is_none_or(|owned| owned < *epoch) => {
                let claim = Claim { owner: Some(shared.owner.clone()), epoch: *epoch, change: Uuid::new_v4() };
                wanted.push((*number, claim));
            }
            Step::Keep if owned_epoch.is_none() => adopt(shared, *number).await,
            _ => {}
        }
    }
    if wanted.is_empty() {
        return;
    }
    if write_claims(shared, &wanted).await {
        return;
    }
    for one in &wanted {
        if wanted.len() > 1 {
            write_claims(shared, std::slice::from_ref(one)).await;
        }
    }
}

/// Writes claims; those that were written are owned from now on.
async fn write_claims(shared: &Arc<Shared>, claims: &[(Partition, Claim)]) -> bool {
    let txn = claims_txn(shared, claims);
    let outcome = shared.store.txn(Use::Claims, &txn).await;
    shared.platform_said(&outcome);
    match outcome {
        Ok(outcome) if outcome.succeeded => {
            for (number, claim) in claims {
                own(shared, *number, claim, outcome.revision).await;
            }
            true
        }
        Ok(_) => false,
        Err(fault) => {
            events::emit!(shared.log, events::PLATFORM_FAILED, "call" => "claim", "why" => fault.to_string());
            if fault.may_have_happened() {
                read_back(shared, claims).await;
            }
            // Nothing is tried again blindly: the next look sees what is recorded.
            true
        }
    }
}

fn claims_txn(shared: &Shared, claims: &[(Partition, Claim)]) -> Txn {
    let prefix = keys::prefix(&shared.settings.cell);
    let mut txn = Txn::default();
    for (number, claim) in claims {
        let place = Place::Claim(shared.data_centre().clone(), *number);
        let key = format!("{prefix}{}", place.key());
        let known = shared.configuration.claim(shared.data_centre(), *number);
        txn.compares.push(Compare { key: key.clone(), mod_revision: known.map_or(0, |(_, revision)| revision) });
        txn.puts.push(Put { key, value: keys::encode(claim), lease: 0 });
    }
    txn
}

/// Settles a lost answer: a claim is owned when the record has its change id.
async fn read_back(shared: &Arc<Shared>, claims: &[(Partition, Claim)]) {
    let prefix = keys::prefix(&shared.settings.cell);
    for (number, claim) in claims {
        let key = format!("{prefix}{}", Place::Claim(shared.data_centre().clone(), *number).key());
        let Ok(entry) = shared.store.get(Use::Claims, &key).await else { continue };
        let recorded: Option<Claim> = keys::decode(&entry.value).ok();
        if recorded.is_some_and(|recorded| recorded.change == claim.change) {
            own(shared, *number, claim, entry.mod_revision).await;
        }
    }
}

/// A claim of this life whose answer never came, seen in the configuration now.
async fn adopt(shared: &Arc<Shared>, number: Partition) {
    let Some((claim, revision)) = shared.configuration.claim(shared.data_centre(), number) else { return };
    if claim.owner.as_ref() == Some(&shared.owner) {
        own(shared, number, &claim, revision).await;
    }
}

/// Opens the book of a partition that this host just claimed. With an older configuration it would take
/// running tasks for strays and finished ones for waiting; then the next look tries again.
async fn own(shared: &Arc<Shared>, number: Partition, claim: &Claim, revision: Revision) {
    if !shared.configuration.reached(revision, IN_FORCE).await {
        return;
    }
    let now = Instant::now();
    shared.holds.raise(number, claim.epoch);
    let mut book = JobTracker::new(claim.epoch, shared.data_centre().clone());
    let count = shared.settings.tasks.partitions;
    for versioned in shared.configuration.workloads() {
        let name = &versioned.record.workload.name;
        if partition(name, count) == number && versioned.record.shares.contains_key(shared.data_centre()) {
            let fresh = versioned.revision > revision;
            let progress = shared.configuration.progress(shared.data_centre(), name);
            book.apply(versioned.as_ref().clone(), progress.as_ref(), fresh, now);
        }
    }
    let owned = Owned {
        book,
        authority: Authority::new(shared.pause_bound(), now),
        revision,
        shown: HashMap::new(),
        compared_at: now,
        unrecorded: BTreeSet::new(),
    };
    shared.partitions.set(number, Some(owned));
    events::emit!(shared.log, events::PARTITION_OWNED, "partition" => number, "epoch" => claim.epoch);
}

/// Gives partitions up, so that their next owner need not wait.
pub(crate) async fn release(shared: &Arc<Shared>, steps: &[(Partition, Step)]) {
    let mut released = Vec::new();
    for (number, _) in steps.iter().filter(|(_, step)| *step == Step::Release) {
        let Some((claim, _)) = shared.configuration.claim(shared.data_centre(), *number) else { continue };
        // The record changes only after this host stopped acting on it.
        drop_lost(shared, *number);
        released.push((*number, Claim { owner: None, epoch: claim.epoch, change: Uuid::new_v4() }));
    }
    if released.is_empty() {
        return;
    }
    let outcome = shared.store.txn(Use::Claims, &claims_txn(shared, &released)).await;
    shared.platform_said(&outcome);
}
