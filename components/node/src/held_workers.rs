//! The workers that this host holds. Takes workers over, runs a task for each that renews its leases and sends it
//! commands, and executes the orders of partition owners on the ledgers.

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
    Answer, Fact, FactKey, HostKind, InventoryAnswer, InventoryItem, ListedHost, Request, ReserveOrder, StartAnswer,
    StartOrder, StopOrder,
};
use worker::{Batch, Client, Hold, Worker, WorkerError};

use crate::shared::Shared;

/// How often the workers that this host should hold are determined.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a call to a worker.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the takeover of a worker is retried.
const RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long the claim epochs learned from the neighbours remain valid.
const EPOCHS_VALIDITY: Duration = Duration::from_secs(1);
/// Orders for a worker that arrive within this time are sent in one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(1);
/// Facts of a worker that another host holds now are withdrawn after this time at the latest.
const MAX_WITHDRAW_DELAY: Duration = Duration::from_secs(3);
const WITHDRAW_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two batches to an unreachable worker.
const UNREACHABLE_RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// A worker held by this host.
pub(crate) struct HeldWorker {
    pub(crate) ledger: Mutex<Ledger>,
    wake: Notify,
    client: Client,
}

/// All workers held by this host.
#[derive(Default)]
pub(crate) struct HeldWorkers {
    held: Mutex<HashMap<WorkerId, Arc<HeldWorker>>>,
    /// When the takeover of a worker may be retried, for workers whose takeover failed.
    retry_at: Mutex<HashMap<WorkerId, Instant>>,
    /// The highest epoch with which each worker refused this host.
    refused_epochs: Mutex<HashMap<WorkerId, Epoch>>,
    /// The highest known claim epoch of each partition.
    epochs: Mutex<BTreeMap<Partition, Epoch>>,
    epochs_learned_at: Mutex<Option<Instant>>,
}

impl HeldWorkers {
    pub(crate) fn get(&self, worker: &str) -> Option<Arc<HeldWorker>> {
        self.held.lock().get(worker).cloned()
    }

    pub(crate) fn all(&self) -> Vec<(WorkerId, Arc<HeldWorker>)> {
        self.held.lock().iter().map(|(worker, held)| (worker.clone(), held.clone())).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.held.lock().len()
    }

    pub(crate) fn epochs(&self) -> Vec<(Partition, Epoch)> {
        self.epochs.lock().iter().map(|(partition, epoch)| (*partition, *epoch)).collect()
    }

    /// Records a claim epoch of a partition. Returns the highest known one.
    pub(crate) fn raise_epoch(&self, partition: Partition, epoch: Epoch) -> Epoch {
        let mut epochs = self.epochs.lock();
        let known = epochs.entry(partition).or_default();
        *known = epoch.max(*known);
        *known
    }
}

/// Takes over workers until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let workers_to_take_over = workers_to_take_over(&shared);
        if !workers_to_take_over.is_empty() && learn_epochs(&shared).await {
            join_all(
                workers_to_take_over.into_iter().map(|(worker, listed)| take_over(shared.clone(), worker, listed)),
            )
            .await;
        }
        shared.metrics.workers.set(shared.held_workers.len() as i64);
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = shared.membership.changed.notified() => {}
        }
    }
}

/// The workers that this host should hold but doesn't.
fn workers_to_take_over(shared: &Shared) -> Vec<(WorkerId, ListedHost)> {
    if shared.membership.presence() != Presence::Serving {
        return Vec::new();
    }
    let now = Instant::now();
    let hosts = shared.membership.live_in(shared.data_centre());
    let mut retry_at = shared.held_workers.retry_at.lock();
    retry_at.retain(|_, until| *until > now);
    let workers = shared.listing.workers(shared.data_centre());
    let assigned = workers.into_iter().filter(|(worker, _)| {
        let assigned_host = member::highest_ranked(worker, hosts.iter().map(String::as_str));
        assigned_host == Some(shared.own.host.as_str()) && !retry_at.contains_key(worker)
    });
    assigned.filter(|(worker, _)| shared.held_workers.get(worker).is_none()).collect()
}

/// Learns the claim epochs that the neighbours know. A new holder must know them before it starts a task, or it
/// could execute the orders of an owner that was paused and has been replaced. Returns whether every neighbour
/// answered.
async fn learn_epochs(shared: &Arc<Shared>) -> bool {
    let now = Instant::now();
    let fresh = shared.held_workers.epochs_learned_at.lock().is_some_and(|at| now.duration_since(at) < EPOCHS_VALIDITY);
    if fresh {
        return true;
    }
    let calls = shared.membership.neighbours().into_iter().map(|member| async move {
        match shared.peer_client.call(member.peer.peers, &Request::Epochs).await {
            Ok(Answer::Epochs(epochs)) => Some(epochs),
            _ => None,
        }
    });
    let answers = join_all(calls).await;
    for (partition, epoch) in answers.iter().flatten().flatten() {
        shared.held_workers.raise_epoch(*partition, *epoch);
    }
    let all_answered = answers.iter().all(Option::is_some);
    if all_answered {
        *shared.held_workers.epochs_learned_at.lock() = Some(now);
    }
    all_answered
}

async fn take_over(shared: Arc<Shared>, worker: WorkerId, listed: ListedHost) {
    let refused_epoch = shared.held_workers.refused_epochs.lock().get(&worker).copied().unwrap_or(0);
    let epoch = shared.facts.highest_epoch(&worker).max(refused_epoch) + 1;
    let client = Client::new(listed.address, CALL_TIMEOUT);
    let outcome = client.hold(&Hold { holder: shared.own.host.clone(), epoch }).await;
    let now = Instant::now();
    let report = match outcome {
        Ok(report) => report,
        Err(error) => {
            if let WorkerError::Superseded(refusal) = error {
                shared.held_workers.refused_epochs.lock().insert(worker.clone(), refusal.epoch);
            } else {
                shared.held_workers.retry_at.lock().insert(worker, now + RETRY_DELAY);
            }
            return;
        }
    };
    let mut ledger = Ledger::open(worker.clone(), epoch, report, shared.ledger_limits(), now);
    ledger.set_listed_leaving(is_leaving(&shared, &worker, Some(&listed)));
    let held = Arc::new(HeldWorker { ledger: Mutex::new(ledger), wake: Notify::new(), client });
    shared.held_workers.held.lock().insert(worker.clone(), held.clone());
    events::emit!(shared.log, events::WORKER_HELD, "worker" => &worker, "epoch" => epoch);
    publish_facts(&shared, &held, now);
    tokio::spawn(hold_worker(shared, worker, held));
}

/// Renews the leases of one worker and sends it commands, until another host holds the worker.
async fn hold_worker(shared: Arc<Shared>, worker: WorkerId, held: Arc<HeldWorker>) {
    let mut sequence = 0;
    loop {
        let (interval, urgent) = {
            let ledger = held.ledger.lock();
            let interval =
                if ledger.reachable() { shared.settings.tasks.renew_every } else { UNREACHABLE_RENEW_INTERVAL };
            (interval, ledger.reachable() && ledger.has_urgent_commands(Instant::now()))
        };
        if urgent {
            tokio::time::sleep(BATCH_WINDOW).await;
        } else {
            let _ = tokio::time::timeout(interval, held.wake.notified()).await;
        }
        sequence += 1;
        if !send_batch(&shared, &worker, &held, sequence).await {
            shared.held_workers.held.lock().remove(&worker);
            let epoch = held.ledger.lock().epoch();
            withdraw(&shared, &worker, epoch).await;
            return;
        }
    }
}

/// Withdraws a worker's facts, if possible only after those of its next holder have arrived, so that callers'
/// requests keep reaching its instances in the meantime.
async fn withdraw(shared: &Arc<Shared>, worker: &WorkerId, epoch: Epoch) {
    let started_at = Instant::now();
    while shared.facts.highest_epoch(worker) <= epoch && started_at.elapsed() < MAX_WITHDRAW_DELAY {
        tokio::time::sleep(WITHDRAW_POLL_INTERVAL).await;
    }
    // This host may hold the worker again by now. In that case its facts are current.
    if shared.held_workers.get(worker).is_none() {
        shared.facts.withdraw(worker);
        shared.membership.send_now.notify_one();
    }
}

/// Sends one batch to a worker and applies its report. Returns false if another host holds the worker.
async fn send_batch(shared: &Arc<Shared>, worker: &WorkerId, held: &Arc<HeldWorker>, sequence: u64) -> bool {
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
            log_recovery(shared, worker, held, before);
            log_ends(shared, &ended);
        }
        Err(WorkerError::Superseded(refusal)) => {
            events::emit!(shared.log, events::WORKER_SUPERSEDED, "worker" => worker, "by" => refusal.holder);
            shared.held_workers.refused_epochs.lock().insert(worker.clone(), refusal.epoch);
            return false;
        }
        Err(error) => {
            let sole = is_sole_holder(shared, worker, batch.epoch, now);
            let mut ledger = held.ledger.lock();
            if ledger.mark_unreachable() {
                events::emit!(shared.log, events::WORKER_SILENT, "worker" => worker, "why" => error.to_string());
            }
            let ended = ledger.expire_leases(sole, now);
            drop(ledger);
            if !ended.is_empty() {
                events::emit!(shared.log, events::WORKER_LEASES_EXPIRED, "worker" => worker, "tasks" => ended.len());
            }
            log_ends(shared, &ended);
        }
    }
    publish_facts(shared, held, now);
    true
}

fn log_recovery(shared: &Shared, worker: &WorkerId, held: &HeldWorker, (reachable, probation): (bool, bool)) {
    let on_probation = held.ledger.lock().on_probation();
    if !reachable {
        events::emit!(shared.log, events::WORKER_RESPONDING, "worker" => worker);
    }
    match (probation, on_probation) {
        (false, true) => events::emit!(shared.log, events::WORKER_PROBATION, "worker" => worker),
        (true, false) => events::emit!(shared.log, events::WORKER_PROBATION_PASSED, "worker" => worker),
        _ => {}
    }
}

fn log_ends(shared: &Shared, ended: &[EndedAttempt]) {
    for end in ended {
        let (task, attempt) = (end.task.to_string(), end.attempt.to_string());
        events::emit!(shared.log, events::TASK_ENDED, "task" => task, "attempt" => attempt, "how" => format!("{:?}", end.end));
    }
}

/// Whether no other host can have renewed the leases of an unreachable worker since this one last did.
fn is_sole_holder(shared: &Shared, worker: &WorkerId, epoch: Epoch, now: Instant) -> bool {
    let limits = shared.ledger_limits();
    if shared.listing.missing_for(worker, limits.lease + limits.margin, now) {
        return true;
    }
    if shared.facts.highest_epoch(worker) > epoch {
        return false;
    }
    // An unreachable host may hold the worker with a higher epoch, unless the platform has delisted that host.
    let neighbours = shared.membership.all().into_iter();
    let mut unheard_members = neighbours.filter(|member| {
        member.peer.data_centre == *shared.data_centre()
            && shared.membership.state(&member.peer.host) == Some(HostState::Dead)
            && member.presence != Presence::Gone
    });
    !unheard_members.any(|member| {
        let listed = shared.listing.get(&member.peer.host);
        listed.is_none_or(|listed| listed.kind == HostKind::Entry)
            && !shared.listing.missing_for(&member.peer.host, limits.lease, now)
    })
}

/// Publishes a worker's facts, and passes the changes to the partitions that this host owns.
fn publish_facts(shared: &Arc<Shared>, held: &HeldWorker, now: Instant) {
    let changed = {
        let mut ledger = held.ledger.lock();
        let fact = ledger.worker_fact(now);
        let tasks: Vec<(FactKey, Fact)> = ledger.task_facts().collect();
        shared.facts.publish(ledger.worker(), fact, tasks)
    };
    if changed.is_empty() {
        return;
    }
    shared.membership.send_now.notify_one();
    crate::owner::observe(shared, changed);
}

fn is_leaving(shared: &Shared, worker: &WorkerId, listed: Option<&ListedHost>) -> bool {
    listed.is_some_and(|listed| listed.leaving) || shared.configuration.is_drained(worker)
}

/// Determines again which of the held workers are leaving.
pub(crate) fn refresh_leaving(shared: &Arc<Shared>) {
    for (worker, held) in shared.held_workers.all() {
        let leaving = is_leaving(shared, &worker, shared.listing.get(&worker).as_ref());
        held.ledger.lock().set_listed_leaving(leaving);
        publish_facts(shared, &held, Instant::now());
    }
}

/// Records a claim on a partition. Returns the inventory of the partition's attempts on the workers held here.
pub(crate) fn announce(shared: &Arc<Shared>, partition: Partition, epoch: Epoch) -> InventoryAnswer {
    let epoch = shared.held_workers.raise_epoch(partition, epoch);
    let mut workers = Vec::new();
    let mut tasks = Vec::new();
    for (worker, held) in shared.held_workers.all() {
        let mut ledger = held.ledger.lock();
        let fact = ledger.worker_fact(Instant::now());
        if !fact.reachable && !fact.lapsed {
            continue;
        }
        workers.push((worker, fact.epoch));
        for (key, fact) in ledger.task_facts() {
            let (FactKey::Task(task, attempt), Fact::Task(fact)) = (key, fact) else { continue };
            if model::workload::partition(&task.workload, shared.settings.tasks.partitions) == partition {
                tasks.push(InventoryItem { task, attempt, fact });
            }
        }
    }
    InventoryAnswer { epoch, version: shared.facts.own_version(), workers, tasks }
}

/// Commits start orders of a partition's owner. Also returns the version of the facts that includes them.
pub(crate) fn start(
    shared: &Arc<Shared>,
    partition: Partition,
    epoch: Epoch,
    orders: &[StartOrder],
    now: Instant,
) -> (Vec<StartAnswer>, u64) {
    let known = shared.held_workers.raise_epoch(partition, epoch);
    if known > epoch {
        return (vec![StartAnswer::Superseded(known); orders.len()], 0);
    }
    let mut changed: HashMap<WorkerId, Arc<HeldWorker>> = HashMap::new();
    let mut answers = Vec::with_capacity(orders.len());
    for order in orders {
        let Some(held) = shared.held_workers.get(&order.worker) else {
            answers.push(StartAnswer::NotHolder);
            continue;
        };
        let (result, hold_epoch) = {
            let mut ledger = held.ledger.lock();
            (ledger.commit(order, now), ledger.epoch())
        };
        answers.push(match result {
            CommitResult::Accepted => StartAnswer::Accepted(hold_epoch),
            CommitResult::Full(free) => StartAnswer::Full(free),
            CommitResult::Closed => StartAnswer::Closed,
        });
        changed.insert(order.worker.clone(), held);
    }
    wake(shared, changed.into_values(), now);
    (answers, shared.facts.own_version())
}

/// Reserves resources for a partition's workloads. Returns for each order whether all of them are free now.
pub(crate) fn reserve(
    shared: &Arc<Shared>,
    partition: Partition,
    epoch: Epoch,
    orders: &[ReserveOrder],
    now: Instant,
) -> Vec<bool> {
    if shared.held_workers.raise_epoch(partition, epoch) > epoch {
        return vec![false; orders.len()];
    }
    let mut answers = Vec::with_capacity(orders.len());
    for order in orders {
        let Some(held) = shared.held_workers.get(&order.worker) else {
            answers.push(false);
            continue;
        };
        answers.push(held.ledger.lock().reserve(order, now));
        wake(shared, [held], now);
    }
    answers
}

/// Stops attempts of a partition. Orders of a superseded owner are ignored.
pub(crate) fn stop(shared: &Arc<Shared>, partition: Partition, epoch: Epoch, orders: &[StopOrder]) {
    if shared.held_workers.raise_epoch(partition, epoch) > epoch {
        return;
    }
    let now = Instant::now();
    for order in orders {
        let Some(held) = shared.held_workers.get(&order.worker) else { continue };
        held.ledger.lock().stop(&order.task, order.attempt, now);
        wake(shared, [held], now);
    }
}

/// Lets workers forget ends of tasks that are stored at the platform.
pub(crate) fn acknowledge(shared: &Arc<Shared>, ends: &[StopOrder]) {
    for order in ends {
        let Some(held) = shared.held_workers.get(&order.worker) else { continue };
        held.ledger.lock().acknowledge(&order.task, order.attempt);
        held.wake.notify_one();
    }
}

fn wake(shared: &Arc<Shared>, held: impl IntoIterator<Item = Arc<HeldWorker>>, now: Instant) {
    for worker in held {
        publish_facts(shared, &worker, now);
        worker.wake.notify_one();
    }
}
