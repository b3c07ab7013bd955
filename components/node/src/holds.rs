//! The workers that this host holds: taking them over, one loop a worker that renews and commands, and what
//! owners ask of the ledgers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use ledger::{CommitResult, EndedAttempt, Ledger};
use member::{HostState, Presence};
use model::{Epoch, Partition, WorkerId};
use parking_lot::Mutex;
use tokio::sync::Notify;
use wire::{
    Answer, Fact, FactKey, Inventoried, InventoryAnswer, Listed, ListedKind, Request, ReserveOrder, StartAnswer,
    StartOrder, StopOrder,
};
use worker::{Batch, Client, Hold, Worker, WorkerError};

use crate::shared::Shared;

/// How often it is looked at which workers this host should hold.
const LOOK: Duration = Duration::from_millis(200);
/// Longest wait for a worker's answer.
const PATIENCE: Duration = Duration::from_millis(900);
/// A worker that could not be taken over is tried again after so long.
const AGAIN: Duration = Duration::from_millis(800);
/// Claim epochs heard from the neighbours are good for so long.
const EPOCHS_FRESH: Duration = Duration::from_secs(1);
/// Orders for one worker that come within this time go out in one batch.
const GATHER: Duration = Duration::from_millis(1);
/// Facts of a worker that was lost to another holder are withdrawn after so long at the latest.
const WITHDRAW: Duration = Duration::from_secs(3);
const WITHDRAW_LOOK: Duration = Duration::from_millis(20);
/// A silent worker is looked at this often.
const SILENT: Duration = Duration::from_millis(500);

/// A worker held by this host.
pub(crate) struct Held {
    pub(crate) ledger: Mutex<Ledger>,
    wake: Notify,
    client: Client,
}

/// All workers held by this host.
#[derive(Default)]
pub(crate) struct Holds {
    held: Mutex<HashMap<WorkerId, Arc<Held>>>,
    /// Workers being taken over, and those that refused, until when.
    pausing: Mutex<HashMap<WorkerId, Instant>>,
    /// Highest epoch by which a worker refused this host.
    refused: Mutex<HashMap<WorkerId, Epoch>>,
    /// Highest claim epoch known of each partition.
    epochs: Mutex<BTreeMap<Partition, Epoch>>,
    epochs_at: Mutex<Option<Instant>>,
}

impl Holds {
    pub(crate) fn get(&self, worker: &str) -> Option<Arc<Held>> {
        self.held.lock().get(worker).cloned()
    }

    pub(crate) fn all(&self) -> Vec<(WorkerId, Arc<Held>)> {
        self.held.lock().iter().map(|(worker, held)| (worker.clone(), held.clone())).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.held.lock().len()
    }

    pub(crate) fn epochs(&self) -> Vec<(Partition, Epoch)> {
        self.epochs.lock().iter().map(|(partition, epoch)| (*partition, *epoch)).collect()
    }

    /// Raises the known epoch of a partition; returns the highest known.
    pub(crate) fn raise(&self, partition: Partition, epoch: Epoch) -> Epoch {
        let mut epochs = self.epochs.lock();
        let known = epochs.entry(partition).or_default();
        *known = epoch.max(*known);
        *known
    }
}

/// Takes over and holds workers until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let wanted = wanted(&shared);
        if !wanted.is_empty() && learn_epochs(&shared).await {
            join_all(wanted.into_iter().map(|(worker, listed)| take_over(shared.clone(), worker, listed))).await;
        }
        shared.metrics.workers.set(shared.holds.len() as i64);
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = shared.membership.changed.notified() => {}
        }
    }
}

/// Workers that this host should hold and does not.
fn wanted(shared: &Shared) -> Vec<(WorkerId, Listed)> {
    if shared.membership.presence() != Presence::Serving {
        return Vec::new();
    }
    let now = Instant::now();
    let hosts = shared.membership.live_in(shared.data_centre());
    let mut pausing = shared.holds.pausing.lock();
    pausing.retain(|_, until| *until > now);
    let workers = shared.listing.workers(shared.data_centre());
    let mine = workers.into_iter().filter(|(worker, _)| {
        let winner = member::highest_ranked(worker, hosts.iter().map(String::as_str));
        winner == Some(shared.own.host.as_str()) && !pausing.contains_key(worker)
    });
    mine.filter(|(worker, _)| shared.holds.get(worker).is_none()).collect()
}

/// A new holder must know the newest claims before its first start: an owner that was paused could otherwise
/// have its orders carried out. Tells whether every live neighbour was heard.
async fn learn_epochs(shared: &Arc<Shared>) -> bool {
    let now = Instant::now();
    let fresh = shared.holds.epochs_at.lock().is_some_and(|at| now.duration_since(at) < EPOCHS_FRESH);
    if fresh {
        return true;
    }
    let calls = shared.membership.neighbours().into_iter().map(|member| async move {
        match shared.links.call(member.peer.peers, &Request::Epochs).await {
            Ok(Answer::Epochs(epochs)) => Some(epochs),
            _ => None,
        }
    });
    let answers = join_all(calls).await;
    for (partition, epoch) in answers.iter().flatten().flatten() {
        shared.holds.raise(*partition, *epoch);
    }
    let all = answers.iter().all(Option::is_some);
    if all {
        *shared.holds.epochs_at.lock() = Some(now);
    }
    all
}

async fn take_over(shared: Arc<Shared>, worker: WorkerId, listed: Listed) {
    let refused = shared.holds.refused.lock().get(&worker).copied().unwrap_or(0);
    let epoch = shared.facts.highest_epoch(&worker).max(refused) + 1;
    let client = Client::new(listed.address, PATIENCE);
    let outcome = client.hold(&Hold { holder: shared.own.host.clone(), epoch }).await;
    let now = Instant::now();
    let report = match outcome {
        Ok(report) => report,
        Err(fault) => {
            if let WorkerError::Superseded(refusal) = fault {
                shared.holds.refused.lock().insert(worker.clone(), refusal.epoch);
            } else {
                shared.holds.pausing.lock().insert(worker, now + AGAIN);
            }
            return;
        }
    };
    let mut ledger = Ledger::open(worker.clone(), epoch, report, shared.ledger_limits(), now);
    ledger.set_listed_leaving(is_leaving(&shared, &worker, Some(&listed)));
    let held = Arc::new(Held { ledger: Mutex::new(ledger), wake: Notify::new(), client });
    shared.holds.held.lock().insert(worker.clone(), held.clone());
    events::emit!(shared.log, events::WORKER_HELD, "worker" => &worker, "epoch" => epoch);
    publish(&shared, &held, now);
    tokio::spawn(hold(shared, worker, held));
}

/// Renews and commands one worker until another host holds it.
async fn hold(shared: Arc<Shared>, worker: WorkerId, held: Arc<Held>) {
    let mut sequence = 0;
    loop {
        let (renew, urgent) = {
            let ledger = held.ledger.lock();
            let renew = if ledger.reachable() { shared.settings.tasks.renew_every } else { SILENT };
            (renew, ledger.reachable() && ledger.has_urgent_commands(Instant::now()))
        };
        if urgent {
            tokio::time::sleep(GATHER).await;
        } else {
            let _ = tokio::time::timeout(renew, held.wake.notified()).await;
        }
        sequence += 1;
        if !exchange(&shared, &worker, &held, sequence).await {
            shared.holds.held.lock().remove(&worker);
            let epoch = held.ledger.lock().epoch();
            withdraw(&shared, &worker, epoch).await;
            return;
        }
    }
}

/// Withdraws a worker's facts, but not before its next holder's are here: callers' requests go on to its
/// instances in the meantime.
async fn withdraw(shared: &Arc<Shared>, worker: &WorkerId, epoch: Epoch) {
    let began = Instant::now();
    while shared.facts.highest_epoch(worker) <= epoch && began.elapsed() < WITHDRAW {
        tokio::time::sleep(WITHDRAW_LOOK).await;
    }
    // This host may have taken it back by now; then its facts are its own again.
    if shared.holds.get(worker).is_none() {
        shared.facts.withdraw(worker);
        shared.membership.speak.notify_one();
    }
}

/// Sends one batch and takes in its report. False when the worker is held by another host.
async fn exchange(shared: &Arc<Shared>, worker: &WorkerId, held: &Arc<Held>, sequence: u64) -> bool {
    let (batch, sent) = {
        let mut ledger = held.ledger.lock();
        let (stamp_ms, lease) = ledger.lease();
        let commands = ledger.commands(Instant::now());
        let lease_ms = lease.as_millis() as u64;
        (Batch { epoch: ledger.epoch(), sequence, stamp_ms, lease_ms, commands: commands.clone() }, commands)
    };
    let outcome = held.client.batch(&batch).await;
    let now = Instant::now();
    match outcome {
        Ok(report) => {
            let (ended, before) = {
                let mut ledger = held.ledger.lock();
                let before = (ledger.reachable(), ledger.on_probation());
                (ledger.apply_batch_reply(&sent, report, now), before)
            };
            note_recovery(shared, worker, held, before);
            note_ends(shared, &ended);
        }
        Err(WorkerError::Superseded(refusal)) => {
            events::emit!(shared.log, events::WORKER_SUPERSEDED, "worker" => worker, "by" => refusal.holder);
            shared.holds.refused.lock().insert(worker.clone(), refusal.epoch);
            return false;
        }
        Err(fault) => {
            let sole = is_sole_holder(shared, worker, batch.epoch, now);
            let mut ledger = held.ledger.lock();
            if ledger.mark_unreachable() {
                events::emit!(shared.log, events::WORKER_SILENT, "worker" => worker, "why" => fault.to_string());
            }
            let ended = ledger.expire_leases(sole, now);
            drop(ledger);
            if !ended.is_empty() {
                events::emit!(shared.log, events::WORKER_LAPSED, "worker" => worker, "tasks" => ended.len());
            }
            note_ends(shared, &ended);
        }
    }
    publish(shared, held, now);
    true
}

fn note_recovery(shared: &Shared, worker: &WorkerId, held: &Held, (reachable, probation): (bool, bool)) {
    let on_probation = held.ledger.lock().on_probation();
    if !reachable {
        events::emit!(shared.log, events::WORKER_BACK, "worker" => worker);
    }
    match (probation, on_probation) {
        (false, true) => events::emit!(shared.log, events::WORKER_PROBATION, "worker" => worker),
        (true, false) => events::emit!(shared.log, events::WORKER_TRUSTED, "worker" => worker),
        _ => {}
    }
}

fn note_ends(shared: &Shared, ended: &[EndedAttempt]) {
    for one in ended {
        let (task, attempt) = (one.task.to_string(), one.attempt.to_string());
        events::emit!(shared.log, events::TASK_ENDED, "task" => task, "attempt" => attempt, "how" => format!("{:?}", one.end));
    }
}

/// Whether no other host can have renewed the leases of a silent worker since this one last did.
fn is_sole_holder(shared: &Shared, worker: &WorkerId, epoch: Epoch, now: Instant) -> bool {
    let limits = shared.ledger_limits();
    if shared.listing.gone_for(worker, limits.lease + limits.margin, now) {
        return true;
    }
    if shared.facts.highest_epoch(worker) > epoch {
        return false;
    }
    // A host that can't be heard may hold the worker under a higher epoch, unless the platform dropped it.
    let neighbours = shared.membership.all().into_iter();
    let mut unheard = neighbours.filter(|member| {
        member.peer.data_centre == *shared.data_centre()
            && shared.membership.state(&member.peer.host) == Some(HostState::Dead)
            && member.presence != Presence::Gone
    });
    !unheard.any(|member| {
        let listed = shared.listing.get(&member.peer.host);
        listed.is_none_or(|listed| listed.kind == ListedKind::Entry)
            && !shared.listing.gone_for(&member.peer.host, limits.lease, now)
    })
}

/// Publishes a worker's facts, and hands what changed to the owners here.
fn publish(shared: &Arc<Shared>, held: &Held, now: Instant) {
    let changed = {
        let mut ledger = held.ledger.lock();
        let fact = ledger.worker_fact(now);
        let tasks: Vec<(FactKey, Fact)> = ledger.task_facts().collect();
        shared.facts.publish(ledger.worker(), fact, tasks)
    };
    if changed.is_empty() {
        return;
    }
    shared.membership.speak.notify_one();
    crate::owner::observe(shared, changed);
}

fn is_leaving(shared: &Shared, worker: &WorkerId, listed: Option<&Listed>) -> bool {
    listed.is_some_and(|listed| listed.leaving) || shared.configuration.is_drained(worker)
}

/// Takes up anew which held workers are leaving.
pub(crate) fn refresh_leaving(shared: &Arc<Shared>) {
    for (worker, held) in shared.holds.all() {
        let leaving = is_leaving(shared, &worker, shared.listing.get(&worker).as_ref());
        held.ledger.lock().set_listed_leaving(leaving);
        publish(shared, &held, Instant::now());
    }
}

/// Takes in a claim, and tells what is held of the partition.
pub(crate) fn announce(shared: &Arc<Shared>, partition: Partition, epoch: Epoch) -> InventoryAnswer {
    let epoch = shared.holds.raise(partition, epoch);
    let mut workers = Vec::new();
    let mut tasks = Vec::new();
    for (worker, held) in shared.holds.all() {
        let mut ledger = held.ledger.lock();
        let fact = ledger.worker_fact(Instant::now());
        if !fact.reachable && !fact.lapsed {
            continue;
        }
        workers.push((worker, fact.epoch));
        for (key, fact) in ledger.task_facts() {
            let (FactKey::Task(task, attempt), Fact::Task(fact)) = (key, fact) else { continue };
            if model::workload::partition(&task.workload, shared.settings.tasks.partitions) == partition {
                tasks.push(Inventoried { task, attempt, fact });
            }
        }
    }
    InventoryAnswer { epoch, version: shared.facts.own_version(), workers, tasks }
}

/// Commits start orders of a partition's owner. Also returns the version of the facts that shows them.
pub(crate) fn start(
    shared: &Arc<Shared>,
    partition: Partition,
    epoch: Epoch,
    orders: &[StartOrder],
    now: Instant,
) -> (Vec<StartAnswer>, u64) {
    let known = shared.holds.raise(partition, epoch);
    if known > epoch {
        return (vec![StartAnswer::Superseded(known); orders.len()], 0);
    }
    let mut touched: HashMap<WorkerId, Arc<Held>> = HashMap::new();
    let mut answers = Vec::with_capacity(orders.len());
    for order in orders {
        let Some(held) = shared.holds.get(&order.worker) else {
            answers.push(StartAnswer::NotHolder);
            continue;
        };
        let (commit, hold) = {
            let mut ledger = held.ledger.lock();
            (ledger.commit(order, now), ledger.epoch())
        };
        answers.push(match commit {
            CommitResult::Accepted => StartAnswer::Accepted(hold),
            CommitResult::Full(free) => StartAnswer::Full(free),
            CommitResult::Closed => StartAnswer::Closed,
        });
        touched.insert(order.worker.clone(), held);
    }
    wake(shared, touched.into_values(), now);
    (answers, shared.facts.own_version())
}

/// Keeps room for a partition's workloads. Answers, for each order, whether all the room is there now.
pub(crate) fn reserve(
    shared: &Arc<Shared>,
    partition: Partition,
    epoch: Epoch,
    orders: &[ReserveOrder],
    now: Instant,
) -> Vec<bool> {
    if shared.holds.raise(partition, epoch) > epoch {
        return vec![false; orders.len()];
    }
    let mut answers = Vec::with_capacity(orders.len());
    for order in orders {
        let Some(held) = shared.holds.get(&order.worker) else {
            answers.push(false);
            continue;
        };
        answers.push(held.ledger.lock().reserve(order, now));
        wake(shared, [held], now);
    }
    answers
}

/// Stops attempts of a partition. An owner that was superseded stops nothing.
pub(crate) fn stop(shared: &Arc<Shared>, partition: Partition, epoch: Epoch, orders: &[StopOrder]) {
    if shared.holds.raise(partition, epoch) > epoch {
        return;
    }
    let now = Instant::now();
    for order in orders {
        let Some(held) = shared.holds.get(&order.worker) else { continue };
        held.ledger.lock().stop(&order.task, order.attempt, now);
        wake(shared, [held], now);
    }
}

/// Lets workers forget ends that are durable.
pub(crate) fn acknowledge(shared: &Arc<Shared>, ends: &[StopOrder]) {
    for order in ends {
        let Some(held) = shared.holds.get(&order.worker) else { continue };
        held.ledger.lock().acknowledge(&order.task, order.attempt);
        held.wake.notify_one();
    }
}

fn wake(shared: &Arc<Shared>, held: impl IntoIterator<Item = Arc<Held>>, now: Instant) {
    for one in held {
        publish(shared, &one, now);
        one.wake.notify_one();
    }
}
