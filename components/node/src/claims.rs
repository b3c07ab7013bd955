//! Claims and releases partitions, and writes the claim records at the platform.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use claim::{Authority, Claim, Step, View};
use jobs::JobTracker;
use member::{HostState, Presence};
use model::workload::partition;
use model::{Partition, Revision};
use store::{Compare, Purpose, Put, Txn};
use uuid::Uuid;

use crate::keys::{self, RecordKey};
use crate::owner::OwnedPartition;
use crate::shared::Shared;

/// How long to wait for the configuration of a claim's revision. A partition isn't opened without it.
pub(crate) const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);
/// A live owner keeps its partitions until the set of live hosts has been unchanged for this long, so that hosts
/// that come and go don't make partitions move back and forth.
const RELEASE_DELAY: Duration = Duration::from_secs(2);

/// Determines the next step for each partition.
pub(crate) fn next_steps(shared: &Shared) -> Vec<(Partition, Step)> {
    if shared.configuration.revision() == 0 {
        return Vec::new();
    }
    let hosts = shared.membership.live_in(shared.data_centre());
    let stable = {
        let mut live_hosts = shared.partitions.live_hosts.lock();
        if live_hosts.0 != hosts {
            *live_hosts = (hosts.clone(), Instant::now());
        }
        live_hosts.1.elapsed() >= RELEASE_DELAY
    };
    let mut steps = Vec::new();
    for number in shared.partitions.numbers() {
        let key = format!("partition {number}");
        let claim = shared.configuration.claim(shared.data_centre(), number).map(|(claim, _)| claim);
        let view = View {
            claim: claim.as_ref(),
            own: &shared.owner,
            winner: member::highest_ranked(&key, hosts.iter().map(String::as_str)),
            owner_live: claim.as_ref().is_some_and(|claim| is_owner_live(shared, claim)),
        };
        match claim::next_step(view) {
            Step::Leave => drop_partition(shared, number, ReleaseReason::NotRecorded),
            Step::Release if !stable && shared.membership.presence() == Presence::Serving => {}
            step => steps.push((number, step)),
        }
    }
    steps
}

fn is_owner_live(shared: &Shared, claim: &Claim) -> bool {
    let Some(owner) = &claim.owner else { return false };
    if *owner == shared.owner {
        return true;
    }
    let state = shared.membership.state(&owner.host);
    let same_incarnation =
        shared.membership.get(&owner.host).is_some_and(|member| member.incarnation == owner.incarnation);
    same_incarnation && matches!(state, Some(HostState::Live | HostState::Leaving))
}

/// Why this host stops acting as the owner of a partition.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReleaseReason {
    /// The claim record doesn't name this host.
    NotRecorded,
    /// A neighbour knows a claim with a higher epoch.
    Superseded,
    /// Another live host ranks higher for the partition.
    HandedOver,
}

impl ReleaseReason {
    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            ReleaseReason::NotRecorded => "not the recorded owner",
            ReleaseReason::Superseded => "superseded by a later claim",
            ReleaseReason::HandedOver => "handed over",
        }
    }
}

/// Drops the state of a partition that this host no longer owns.
pub(crate) fn drop_partition(shared: &Shared, number: Partition, reason: ReleaseReason) {
    if shared.partitions.set(number, None) {
        events::emit!(shared.log, events::PARTITION_RELEASED, "partition" => number, "why" => reason.name());
    }
}

/// Claims partitions in one transaction. If a condition of it fails, claims each in a transaction of its own.
pub(crate) async fn take_partitions(shared: &Arc<Shared>, steps: &[(Partition, Step)]) {
    let mut to_claim: Vec<(Partition, Claim)> = Vec::new();
    for (number, step) in steps {
        let owned_epoch = shared.partitions.with(*number, |owned| owned.tracker.epoch());
        match step {
            Step::Take(epoch) if owned_epoch.is_none_or(|owned| owned < *epoch) => {
                let claim = Claim { owner: Some(shared.owner.clone()), epoch: *epoch, change: Uuid::new_v4() };
                to_claim.push((*number, claim));
            }
            Step::Keep if owned_epoch.is_none() => adopt_claim(shared, *number).await,
            _ => {}
        }
    }
    if to_claim.is_empty() {
        return;
    }
    if write_claims(shared, &to_claim).await {
        return;
    }
    for single in &to_claim {
        if to_claim.len() > 1 {
            write_claims(shared, std::slice::from_ref(single)).await;
        }
    }
}

/// Writes claims in one transaction and opens the partitions if it succeeds. Returns false if a condition of the
/// transaction failed.
async fn write_claims(shared: &Arc<Shared>, claims: &[(Partition, Claim)]) -> bool {
    let txn = claims_txn(shared, claims);
    let outcome = shared.store.txn(Purpose::Claims, &txn).await;
    shared.record_platform_result(&outcome);
    match outcome {
        Ok(outcome) if outcome.succeeded => {
            for (number, claim) in claims {
                open_partition(shared, *number, claim, outcome.revision).await;
            }
            true
        }
        Ok(_) => false,
        Err(error) => {
            events::emit!(shared.log, events::PLATFORM_FAILED, "call" => "claim", "why" => error.to_string());
            if error.may_have_taken_effect() {
                read_back(shared, claims).await;
            }
            // Not retried here: the next tick acts on what the platform has recorded.
            true
        }
    }
}

pub(crate) fn claims_txn(shared: &Shared, claims: &[(Partition, Claim)]) -> Txn {
    let prefix = keys::cell_prefix(&shared.settings.cell);
    let mut txn = Txn::default();
    for (number, claim) in claims {
        let record_key = RecordKey::Claim(shared.data_centre().clone(), *number);
        let key = format!("{prefix}{}", record_key.key());
        let known = shared.configuration.claim(shared.data_centre(), *number);
        txn.compares.push(Compare { key: key.clone(), mod_revision: known.map_or(0, |(_, revision)| revision) });
        txn.puts.push(Put { key, value: keys::encode(claim), lease: 0 });
    }
    txn
}

/// Determines the outcome of a transaction whose answer was lost. A claim took effect if the record has its
/// change id.
async fn read_back(shared: &Arc<Shared>, claims: &[(Partition, Claim)]) {
    let prefix = keys::cell_prefix(&shared.settings.cell);
    for (number, claim) in claims {
        let key = format!("{prefix}{}", RecordKey::Claim(shared.data_centre().clone(), *number).key());
        let Ok(entry) = shared.store.get(Purpose::Claims, &key).await else { continue };
        let recorded: Option<Claim> = keys::decode(&entry.value).ok();
        if recorded.is_some_and(|recorded| recorded.change == claim.change) {
            open_partition(shared, *number, claim, entry.mod_revision).await;
        }
    }
}

/// Opens a partition whose claim by this incarnation is in the configuration although its answer never arrived.
async fn adopt_claim(shared: &Arc<Shared>, number: Partition) {
    let Some((claim, revision)) = shared.configuration.claim(shared.data_centre(), number) else { return };
    if claim.owner.as_ref() == Some(&shared.owner) {
        open_partition(shared, number, &claim, revision).await;
    }
}

/// Starts tracking the tasks of a partition that this host has claimed. Does nothing if the configuration of the
/// claim's revision doesn't arrive in time, because with an older one running tasks would look like orphans and
/// finished tasks would look like waiting ones. The next tick tries again.
async fn open_partition(shared: &Arc<Shared>, number: Partition, claim: &Claim, revision: Revision) {
    if !shared.configuration.wait_for_revision(revision, CONFIGURATION_TIMEOUT).await {
        return;
    }
    let now = Instant::now();
    shared.held_workers.raise_epoch(number, claim.epoch);
    let mut tracker = JobTracker::new(claim.epoch, shared.data_centre().clone());
    let count = shared.settings.tasks.partitions;
    for versioned in shared.configuration.workloads() {
        let name = &versioned.record.workload.name;
        if partition(name, count) == number && versioned.record.shares.contains_key(shared.data_centre()) {
            let fresh = versioned.revision > revision;
            let progress = shared.configuration.progress(shared.data_centre(), name);
            tracker.apply(versioned.as_ref().clone(), progress.as_ref(), fresh, now);
        }
    }
    let owned = OwnedPartition {
        tracker,
        authority: Authority::new(shared.max_clock_gap(), now),
        claim_revision: revision,
        visible_from: HashMap::new(),
        compared_at: now,
        unrecorded_lives: BTreeSet::new(),
        releasing: false,
    };
    shared.partitions.set(number, Some(owned));
    events::emit!(shared.log, events::PARTITION_OWNED, "partition" => number, "epoch" => claim.epoch);
}
