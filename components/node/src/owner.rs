//! The partitions of the own data centre: claiming them, recovering them, following their tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use claim::{Authority, Claim, Step, View};
use facts::{Change, Shown};
use futures_util::future::join_all;
use jobs::{Book, Note};
use member::{Presence, State};
use model::task::{Attempt, Id};
use model::workload::{Record, partition};
use model::{HostId, Partition, Revision, WorkerId, WorkloadId};
use parking_lot::Mutex;
use platform::{Compare, Put, Txn, Use};
use uuid::Uuid;
use wire::{Answer, InventoryAnswer, Request, StopOrder};

use crate::keys::{self, Place};
use crate::shared::Shared;
use crate::{holds, send};

/// A claim is acted on only with the configuration of its revision in force, which comes within this time.
const IN_FORCE: Duration = Duration::from_secs(2);
/// How often claims and stops are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// How often attempts are compared with the holders' inventories.
const COMPARE: Duration = Duration::from_secs(1);
/// How often all facts are taken in anew: makes up for orders and acknowledgements that were lost.
const RESYNC: Duration = Duration::from_secs(3);
/// Partitions stay with a live owner for so long after another host should have them, so that hosts that
/// come and go don't make them move to and fro.
const SETTLED: Duration = Duration::from_secs(2);

/// A partition owned by this host.
pub(crate) struct Owned {
    pub(crate) book: Book,
    pub(crate) authority: Authority,
    /// Revision of the record that claims it: the next change compares with it.
    revision: Revision,
    /// Where each attempt was last told of.
    shown: HashMap<(Id, Attempt), Shown>,
    compared_at: Instant,
    /// Lives of workloads that the platform does not have (any more): their attempts may be stopped.
    unrecorded: BTreeSet<(WorkloadId, u32)>,
}

impl Owned {
    /// Revision of the record that claims it.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }
}

/// All partitions of the data centre, owned here or not.
pub(crate) struct Partitions {
    owned: Vec<Mutex<Option<Owned>>>,
    /// Since when the live hosts have been what they are.
    settled: Mutex<(Vec<HostId>, Instant)>,
}

impl Partitions {
    pub(crate) fn new(count: Partition, now: Instant) -> Partitions {
        Partitions { owned: (0..count).map(|_| Mutex::new(None)).collect(), settled: Mutex::new((Vec::new(), now)) }
    }

    pub(crate) fn numbers(&self) -> impl Iterator<Item = Partition> + use<> {
        0..self.owned.len() as Partition
    }

    /// Runs `act` on a partition when it is owned here.
    pub(crate) fn with<R>(&self, number: Partition, act: impl FnOnce(&mut Owned) -> R) -> Option<R> {
        self.owned.get(usize::from(number))?.lock().as_mut().map(act)
    }

    fn set(&self, number: Partition, owned: Option<Owned>) -> bool {
        let Some(slot) = self.owned.get(usize::from(number)) else { return false };
        let mut slot = slot.lock();
        let had = slot.is_some();
        *slot = owned;
        had
    }

    pub(crate) fn owned_here(&self) -> Vec<Partition> {
        self.numbers().filter(|number| self.with(*number, |_| ()).is_some()).collect()
    }
}

/// Claims, recovers and follows partitions until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut resynced_at = Instant::now();
    loop {
        if resynced_at.elapsed() >= RESYNC {
            resynced_at = Instant::now();
            let tasks = shared.facts.tasks().into_iter();
            observe(&shared, tasks.map(|(task, attempt, fact)| Change::Task(task, attempt, fact, false)).collect());
        }
        let steps = steps(&shared);
        take(&shared, &steps).await;
        release(&shared, &steps).await;
        let leaving = shared.facts.leaving();
        join_all(shared.partitions.owned_here().into_iter().map(|number| tend(&shared, number, &leaving))).await;
        tokio::time::sleep(LOOK).await;
    }
}

/// What to do about each partition.
fn steps(shared: &Shared) -> Vec<(Partition, Step)> {
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
            winner: member::winner(&key, hosts.iter().map(String::as_str)),
            owner_live: claim.as_ref().is_some_and(|claim| owner_live(shared, claim)),
        };
        match claim::step(view) {
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
    same_life && matches!(state, Some(State::Live | State::Leaving))
}

/// The record names another owner: this host has none of it any more.
fn drop_lost(shared: &Shared, number: Partition) {
    if shared.partitions.set(number, None) {
        events::emit!(shared.log, events::PARTITION_RELEASED, "partition" => number);
    }
}

/// Claims partitions, all in one transaction; when that fails, each on its own.
async fn take(shared: &Arc<Shared>, steps: &[(Partition, Step)]) {
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
    let mut book = Book::new(claim.epoch, shared.data_centre().clone());
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
async fn release(shared: &Arc<Shared>, steps: &[(Partition, Step)]) {
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

/// One look at an owned partition.
async fn tend(shared: &Arc<Shared>, number: Partition, leaving: &[WorkerId]) {
    if !may_act(shared, number).await {
        return;
    }
    recover(shared, number).await;
    compare(shared, number);
    evacuate(shared, number, leaving).await;
    confirm_strays(shared, number).await;
    let now = Instant::now();
    let Some((epoch, stops, overdue, ends)) = shared.partitions.with(number, |owned| {
        let overdue = owned.book.overdue_orders(now);
        let mut stops = owned.book.stops(now);
        let strays = owned.book.strays().filter(|order| owned.unrecorded.contains(&life_of(&order.task)));
        stops.extend(strays.cloned());
        (owned.book.epoch(), stops, overdue, owned.book.take_acknowledgements())
    }) else {
        return;
    };
    send::stops(shared, number, epoch, stops).await;
    send::acknowledgements(shared, ends).await;
    if !overdue.is_empty() {
        send::starts(shared, number, epoch, overdue).await;
    }
    write_ends(shared, number);
    note(shared, number);
}

fn life_of(task: &Id) -> (WorkloadId, u32) {
    (task.workload.clone(), task.life)
}

/// Attempts of workloads that are not known here may belong to a record that has not come yet: they are
/// stopped only when the platform says that there is none.
async fn confirm_strays(shared: &Arc<Shared>, number: Partition) {
    let doubtful = shared.partitions.with(number, |owned| {
        let lives: BTreeSet<(WorkloadId, u32)> = owned.book.strays().map(|order| life_of(&order.task)).collect();
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
async fn recover(shared: &Arc<Shared>, number: Partition) {
    let recovering = shared.partitions.with(number, |owned| (!owned.book.accounted(), owned.book.epoch()));
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
        owned.book.workers(workers);
        for inventory in &inventories {
            take_inventory(owned, inventory, now);
        }
        match &missing {
            Some(name) => owned.book.recovering(name),
            None => owned.book.all_accounted(now),
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
        let shown = Shown { epoch: *epoch, version: inventory.version };
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

/// Compares attempts with the inventories of the workers' holders: what is not there has surely ended.
fn compare(shared: &Shared, number: Partition) {
    let now = Instant::now();
    let limits = shared.ledger_limits();
    shared.partitions.with(number, |owned| {
        if now.duration_since(owned.compared_at) < COMPARE {
            return;
        }
        owned.compared_at = now;
        let mut gone = Vec::new();
        for (task, attempt, worker) in owned.book.may_live() {
            let shown = owned.shown.get(&(task.clone(), attempt));
            if shared.facts.lacks(worker, &task, attempt, shown) {
                gone.push((task, attempt));
            }
        }
        for (task, attempt) in gone {
            owned.book.vanished(&task, attempt, now);
        }
        let live: BTreeSet<(Id, Attempt)> = owned.book.may_live().map(|(task, attempt, _)| (task, attempt)).collect();
        owned.shown.retain(|key, _| live.contains(key));
        let workers: BTreeSet<WorkerId> = owned.book.workers_in_use();
        for worker in workers {
            let held = shared.facts.holder(&worker).is_some_and(|(_, fact)| fact.reachable || !fact.lapsed);
            if !held && shared.listing.gone_for(&worker, limits.lease + limits.margin, now) {
                owned.book.worker_gone(&worker, now);
            }
        }
    });
}

/// Empties workers that are on their way out.
async fn evacuate(shared: &Arc<Shared>, number: Partition, leaving: &[WorkerId]) {
    if leaving.is_empty() {
        return;
    }
    let now = Instant::now();
    let stops = shared.partitions.with(number, |owned| {
        let orders: Vec<StopOrder> = leaving.iter().flat_map(|worker| owned.book.evacuate(worker, now)).collect();
        (owned.book.epoch(), orders)
    });
    let Some((epoch, orders)) = stops else { return };
    send::stops(shared, number, epoch, orders).await;
}

/// Hands ends that must last to the committer.
fn write_ends(shared: &Arc<Shared>, number: Partition) {
    let writes = shared.partitions.with(number, |owned| owned.book.undurable()).unwrap_or_default();
    for (workload, progress, ends) in writes {
        shared.committer.end(number, workload, progress, ends);
    }
}

/// Writes events and metrics of what happened.
fn note(shared: &Shared, number: Partition) {
    let notes = shared.partitions.with(number, |owned| owned.book.take_notes()).unwrap_or_default();
    for one in notes {
        match one {
            Note::Started(task, waited) => {
                events::emit!(shared.log, events::TASK_STARTED, "task" => task.to_string(), "waited_ms" => waited.as_millis() as u64);
                note_wait(shared, &task, waited);
            }
            Note::Parked(workload, reason) => {
                events::emit!(shared.log, events::TASK_PARKED, "workload" => workload, "why" => reason.to_string());
            }
            Note::Ended(..) => shared.look_again.notify_one(),
        }
    }
}

fn note_wait(shared: &Shared, task: &Id, waited: Duration) {
    let Some(versioned) = shared.configuration.workload(&task.workload) else { return };
    let workload = &versioned.record.workload;
    let tenant = metrics::Tenant { class: format!("{:?}", workload.kind).to_lowercase(), team: workload.team.clone() };
    shared.metrics.start_seconds.get_or_create(&tenant).observe(waited.as_secs_f64());
}

/// Takes in changed facts.
pub(crate) fn observe(shared: &Arc<Shared>, changed: Vec<Change>) {
    let count = shared.settings.tasks.partitions;
    let now = Instant::now();
    let mut by_partition: BTreeMap<Partition, Vec<(Id, Attempt, wire::TaskFact, bool)>> = BTreeMap::new();
    for change in changed {
        match change {
            Change::Worker => {}
            Change::Task(task, attempt, fact, probation) => {
                by_partition
                    .entry(partition(&task.workload, count))
                    .or_default()
                    .push((task, attempt, fact, probation));
            }
        }
    }
    for (number, tasks) in by_partition {
        shared.partitions.with(number, |owned| {
            for (task, attempt, fact, probation) in tasks {
                owned.book.observe(&task, attempt, &fact, probation, now);
            }
        });
    }
    shared.look_again.notify_one();
    crate::services::refresh(shared);
}

/// Takes in changed records.
pub(crate) fn records_changed(shared: &Arc<Shared>, workloads: &[WorkloadId]) {
    let count = shared.settings.tasks.partitions;
    let now = Instant::now();
    for name in workloads {
        let versioned = shared.configuration.workload(name);
        let progress = shared.configuration.progress(shared.data_centre(), name);
        shared.partitions.with(partition(name, count), |owned| match &versioned {
            Some(versioned) if versioned.record.shares.contains_key(shared.data_centre()) => {
                let fresh = versioned.revision > owned.revision;
                owned.book.apply(versioned.as_ref().clone(), progress.as_ref(), fresh, now);
            }
            _ => owned.book.abandon(name),
        });
    }
}

/// Takes in what became of orders.
pub(crate) fn committed(owned: &mut Owned, task: &Id, attempt: Attempt, shown: Shown, now: Instant) {
    owned.shown.insert((task.clone(), attempt), shown);
    owned.book.committed(task, attempt, now);
}
