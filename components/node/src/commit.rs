//! Writes operators' changes and the ends of tasks to the platform, in batched transactions.
//!
//! A change is accepted only once the platform has stored it. The same transaction stores the receipt of its
//! command, so that the outcome can be determined after a lost answer: either the receipt exists, or a receipt
//! that says "not done" is written under its key, after which the change can no longer take effect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::workload::Progress;
use model::{CommandId, Partition, Revision, WorkloadId};
use parking_lot::Mutex;
use store::{Compare, Lease, Purpose, Put, StoreError, Txn};
use tokio::sync::{mpsc, oneshot};
use wire::StopOrder;

use crate::keys::{self, Receipt, RecordKey};
use crate::shared::Shared;

/// Changes that arrive within this time are written in one transaction.
const BATCH_WINDOW: Duration = Duration::from_millis(4);
/// Time between two writes of ends of tasks.
const END_WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// The platform's limit on the operations in one transaction.
const MAX_OPERATIONS: usize = 120;
/// Changes that may wait for a transaction. Further ones are refused.
const MAX_QUEUED: usize = 16_384;
/// Receipts are kept for at least this long.
const RECEIPT_RETENTION: Duration = Duration::from_secs(3600);
/// Delay before each attempt to determine the outcome of a command whose answer was lost.
const RESOLVE_DELAYS: [Duration; 4] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(500), Duration::from_millis(1000)];

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CommitOutcome {
    /// Stored, at this revision.
    Done(Revision),
    /// A record no longer has the revision that the change was based on.
    Conflict,
    /// The command already has an outcome, given by its receipt.
    Before(Receipt),
    /// Certainly not done, for this reason. It can be retried.
    NotDone(String),
    /// The outcome is unknown, for this reason.
    Unknown(String),
}

/// The writes that execute an operator's command.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) command: CommandId,
    pub(crate) message: String,
    /// The revisions that keys must have; 0 for a key that must not exist.
    pub(crate) expects: Vec<(RecordKey, Revision)>,
    pub(crate) puts: Vec<(RecordKey, Vec<u8>)>,
    pub(crate) deletes: Vec<RecordKey>,
}

impl Change {
    /// The number of operations in the transaction, including the write of the receipt.
    fn operations(&self) -> usize {
        self.puts.len() + self.deletes.len() + 1
    }
}

type QueuedChange = (Change, oneshot::Sender<CommitOutcome>);
type UnwrittenEnds = BTreeMap<(Partition, WorkloadId), (Progress, Vec<StopOrder>)>;

/// Changes and ends of tasks that wait to be written to the platform.
pub(crate) struct Committer {
    sender: mpsc::Sender<QueuedChange>,
    receiver: Mutex<Option<mpsc::Receiver<QueuedChange>>>,
    ends: Mutex<UnwrittenEnds>,
    lease: Mutex<Option<(Lease, Instant)>>,
}

impl Committer {
    pub(crate) fn new() -> Committer {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        Committer { sender, receiver: Mutex::new(Some(receiver)), ends: Mutex::default(), lease: Mutex::new(None) }
    }

    /// Queues a change and waits until it is written.
    pub(crate) async fn commit(&self, change: Change) -> CommitOutcome {
        let (reply, answer) = oneshot::channel();
        if self.sender.try_send((change, reply)).is_err() {
            return CommitOutcome::NotDone("too many commands are waiting already".to_owned());
        }
        answer.await.unwrap_or_else(|_| CommitOutcome::Unknown("this entry host is stopping".to_owned()))
    }

    /// Queues ends of tasks, which must be stored before the workers are told to forget them.
    pub(crate) fn queue_ends(
        &self,
        partition: Partition,
        workload: WorkloadId,
        progress: Progress,
        ends: Vec<StopOrder>,
    ) {
        self.ends.lock().insert((partition, workload), (progress, ends));
    }
}

/// Writes queued changes until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    tokio::spawn(write_ends(shared.clone()));
    let Some(mut receiver) = shared.committer.receiver.lock().take() else { return };
    while let Some(first) = receiver.recv().await {
        tokio::time::sleep(BATCH_WINDOW).await;
        let mut operations = first.0.operations();
        let mut batch = vec![first];
        while operations < MAX_OPERATIONS / 2 {
            let Ok(next) = receiver.try_recv() else { break };
            operations += next.0.operations();
            batch.push(next);
        }
        // Spawned so that the next batch doesn't wait for the answer to this one.
        tokio::spawn(commit_batch(shared.clone(), batch));
    }
}

async fn commit_batch(shared: Arc<Shared>, batch: Vec<QueuedChange>) {
    let can_share_transaction = batch.len() > 1 && have_distinct_keys(&batch);
    if can_share_transaction {
        let changes: Vec<&Change> = batch.iter().map(|(change, _)| change).collect();
        if let CommitOutcome::Done(revision) = write_changes(&shared, &changes).await {
            for (_, reply) in batch {
                let _ = reply.send(CommitOutcome::Done(revision));
            }
            return;
        }
    }
    // One failing change must not make the others fail, so each is written in a transaction of its own.
    for (change, reply) in batch {
        let _ = reply.send(commit_one(&shared, &change).await);
    }
}

/// Whether no two changes concern the same key. One transaction may write a key only once.
fn have_distinct_keys(batch: &[QueuedChange]) -> bool {
    let mut seen = std::collections::BTreeSet::new();
    batch.iter().flat_map(|(change, _)| &change.expects).all(|(record_key, _)| seen.insert(record_key.key()))
}

async fn commit_one(shared: &Shared, change: &Change) -> CommitOutcome {
    match write_changes(shared, &[change]).await {
        CommitOutcome::Conflict => match read_receipt(shared, change.command).await {
            Ok(Some(receipt)) => CommitOutcome::Before(receipt),
            Ok(None) => CommitOutcome::Conflict,
            Err(error) => CommitOutcome::Unknown(error.to_string()),
        },
        CommitOutcome::Unknown(_) => resolve_outcome(shared, change.command).await,
        outcome => outcome,
    }
}

async fn write_changes(shared: &Shared, changes: &[&Change]) -> CommitOutcome {
    let lease = match receipt_lease(shared).await {
        Ok(lease) => lease,
        Err(error) => return CommitOutcome::NotDone(error.to_string()),
    };
    let txn = transaction(&shared.settings.cell, changes, lease);
    let outcome = shared.store.txn(Purpose::Acceptance, &txn).await;
    shared.record_platform_result(&outcome);
    match outcome {
        Ok(outcome) if outcome.succeeded => CommitOutcome::Done(outcome.revision),
        Ok(_) => CommitOutcome::Conflict,
        Err(StoreError::Refused(reason)) => {
            // The lease may have expired, so the next change requests a new one.
            *shared.committer.lease.lock() = None;
            CommitOutcome::NotDone(reason)
        }
        Err(error) if error.may_have_taken_effect() => CommitOutcome::Unknown(error.to_string()),
        Err(error) => CommitOutcome::NotDone(error.to_string()),
    }
}

fn transaction(cell: &str, changes: &[&Change], lease: Lease) -> Txn {
    let prefix = keys::cell_prefix(cell);
    let mut txn = Txn::default();
    for change in changes {
        let key = keys::receipt_key(cell, change.command);
        txn.compares.push(Compare { key: key.clone(), mod_revision: 0 });
        let receipt = Receipt { done: true, message: change.message.clone() };
        txn.puts.push(Put { key, value: keys::encode(&receipt), lease });
        for (record_key, revision) in &change.expects {
            txn.compares.push(Compare { key: format!("{prefix}{}", record_key.key()), mod_revision: *revision });
        }
        for (record_key, value) in &change.puts {
            txn.puts.push(Put { key: format!("{prefix}{}", record_key.key()), value: value.clone(), lease: 0 });
        }
        txn.deletes.extend(change.deletes.iter().map(|record_key| format!("{prefix}{}", record_key.key())));
    }
    txn
}

/// Returns the lease that receipts are attached to. A new one is granted every hour, and receipts expire with
/// their lease.
async fn receipt_lease(shared: &Shared) -> Result<Lease, StoreError> {
    let now = Instant::now();
    if let Some((lease, since)) = *shared.committer.lease.lock()
        && now.duration_since(since) < RECEIPT_RETENTION
    {
        return Ok(lease);
    }
    let granted = shared.store.grant(Purpose::Acceptance, RECEIPT_RETENTION * 2).await;
    shared.record_platform_result(&granted);
    let lease = granted?;
    *shared.committer.lease.lock() = Some((lease, now));
    Ok(lease)
}

pub(crate) async fn read_receipt(shared: &Shared, command: CommandId) -> Result<Option<Receipt>, StoreError> {
    let entry = shared.store.get(Purpose::Acceptance, &keys::receipt_key(&shared.settings.cell, command)).await;
    shared.record_platform_result(&entry);
    let entry = entry?;
    if entry.mod_revision == 0 {
        return Ok(None);
    }
    Ok(keys::decode(&entry.value).ok())
}

/// Determines the outcome of a command. If it has not taken effect, prevents it from doing so later.
pub(crate) async fn resolve_outcome(shared: &Shared, command: CommandId) -> CommitOutcome {
    let mut last_error = String::new();
    for pause in RESOLVE_DELAYS {
        tokio::time::sleep(pause).await;
        match write_not_done_receipt(shared, command).await {
            Ok(Some(receipt)) => return CommitOutcome::Before(receipt),
            Ok(None) => return CommitOutcome::NotDone("the platform did not execute the command".to_owned()),
            Err(error) => last_error = error.to_string(),
        }
    }
    CommitOutcome::Unknown(last_error)
}

/// Writes a receipt that says "not done", unless the command has a receipt already. Returns the existing one.
async fn write_not_done_receipt(shared: &Shared, command: CommandId) -> Result<Option<Receipt>, StoreError> {
    let lease = receipt_lease(shared).await?;
    let key = keys::receipt_key(&shared.settings.cell, command);
    let receipt = Receipt {
        done: false,
        message: "not done: the platform's answer was lost, and the command had not taken effect".to_owned(),
    };
    let txn = Txn {
        compares: vec![Compare { key: key.clone(), mod_revision: 0 }],
        puts: vec![Put { key, value: keys::encode(&receipt), lease }],
        deletes: Vec::new(),
    };
    let outcome = shared.store.txn(Purpose::Acceptance, &txn).await;
    shared.record_platform_result(&outcome);
    if outcome?.succeeded {
        return Ok(None);
    }
    read_receipt(shared, command).await
}

/// Writes ends of tasks until the process ends. Ends whose write fails are queued again by the partition's owner.
async fn write_ends(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(END_WRITE_INTERVAL).await;
        let ends = std::mem::take(&mut *shared.committer.ends.lock());
        // Ends are queued again until they are marked as stored. A second write could come after the removal of the
        // workload's records and create its progress anew.
        let is_unpersisted = |partition: Partition, workload: &WorkloadId| {
            shared.partitions.with(partition, |owned| owned.tracker.has_unpersisted_ends(workload)).unwrap_or(false)
        };
        let mut remaining: Vec<_> =
            ends.into_iter().filter(|((partition, workload), _)| is_unpersisted(*partition, workload)).collect();
        while !remaining.is_empty() {
            let batch: Vec<_> = remaining.drain(..remaining.len().min(MAX_OPERATIONS / 2)).collect();
            write_end_batch(&shared, batch).await;
        }
    }
}

type WorkloadEnds = ((Partition, WorkloadId), (Progress, Vec<StopOrder>));

async fn write_end_batch(shared: &Arc<Shared>, batch: Vec<WorkloadEnds>) {
    let written = write_progress(shared, &batch).await;
    if written {
        mark_durable(shared, batch);
        return;
    }
    if batch.len() == 1 {
        return;
    }
    // One partition that this host lost in the meantime must not block the writes of the others.
    for workload_ends in batch {
        if write_progress(shared, std::slice::from_ref(&workload_ends)).await {
            mark_durable(shared, vec![workload_ends]);
        }
    }
}

fn mark_durable(shared: &Arc<Shared>, batch: Vec<WorkloadEnds>) {
    for ((partition, workload), (_, ends)) in batch {
        shared.partitions.with(partition, |owned| owned.tracker.mark_persisted(&workload, &ends));
    }
}

/// Writes progress, on condition that this host still owns the partitions.
async fn write_progress(shared: &Shared, batch: &[WorkloadEnds]) -> bool {
    let prefix = keys::cell_prefix(&shared.settings.cell);
    let mut txn = Txn::default();
    let mut partitions = std::collections::BTreeSet::new();
    for ((partition, workload), (progress, _)) in batch {
        let record_key = RecordKey::Progress(shared.data_centre().clone(), workload.clone());
        txn.puts.push(Put { key: format!("{prefix}{}", record_key.key()), value: keys::encode(progress), lease: 0 });
        if partitions.insert(*partition) {
            let Some(revision) = shared.partitions.with(*partition, |owned| owned.claim_revision) else { return false };
            let claim = RecordKey::Claim(shared.data_centre().clone(), *partition);
            txn.compares.push(Compare { key: format!("{prefix}{}", claim.key()), mod_revision: revision });
        }
    }
    let outcome = shared.store.txn(Purpose::Ends, &txn).await;
    shared.record_platform_result(&outcome);
    matches!(outcome, Ok(outcome) if outcome.succeeded)
}
