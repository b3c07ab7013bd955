//! Makes operators' changes and ends of tasks durable, many in one transaction.
//!
//! A change is accepted when the platform has it, not before. Each carries the receipt of its command in the
//! same transaction, so that a lost answer can be settled: either the receipt is there, or a receipt that
//! says "not done" takes its place and the change can never take effect afterwards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::workload::Progress;
use model::{CommandId, Partition, Revision, WorkloadId};
use parking_lot::Mutex;
use store::{Compare, Fault, Lease, Put, Txn, Use};
use tokio::sync::{mpsc, oneshot};
use wire::StopOrder;

use crate::keys::{self, Place, Receipt};
use crate::shared::Shared;

/// Changes that arrive within this time go into one transaction.
const GATHER: Duration = Duration::from_millis(4);
/// Ends of tasks are written this often.
const ENDS_EVERY: Duration = Duration::from_millis(250);
/// Operations that one transaction may have, by the platform's own limit.
const MOST_OPERATIONS: usize = 120;
/// Changes that may wait for a transaction.
const QUEUE: usize = 16_384;
/// Receipts last at least this long.
const RECEIPTS: Duration = Duration::from_secs(3600);
/// Attempts to settle a lost answer, and the pause before each.
const SETTLE: [Duration; 4] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(500), Duration::from_millis(1000)];

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Committed {
    /// Durable, at this revision.
    Done(Revision),
    /// A record was not what the change was made from.
    Conflict,
    /// The command was carried out before; its receipt.
    Before(Receipt),
    /// Surely not done, for this reason; worth another try.
    NotDone(String),
    /// Not known.
    Unknown(String),
}

/// One operator's command as writes.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) command: CommandId,
    pub(crate) message: String,
    /// Keys below the cell's prefix with the revisions that they must have.
    pub(crate) expects: Vec<(Place, Revision)>,
    pub(crate) puts: Vec<(Place, Vec<u8>)>,
    pub(crate) deletes: Vec<Place>,
}

impl Change {
    /// Operations in the transaction, with the receipt.
    fn operations(&self) -> usize {
        self.puts.len() + self.deletes.len() + 1
    }
}

type Pending = (Change, oneshot::Sender<Committed>);
type Ends = BTreeMap<(Partition, WorkloadId), (Progress, Vec<StopOrder>)>;

/// The queue to the platform.
pub(crate) struct Committer {
    sender: mpsc::Sender<Pending>,
    receiver: Mutex<Option<mpsc::Receiver<Pending>>>,
    ends: Mutex<Ends>,
    lease: Mutex<Option<(Lease, Instant)>>,
}

impl Committer {
    pub(crate) fn new() -> Committer {
        let (sender, receiver) = mpsc::channel(QUEUE);
        Committer { sender, receiver: Mutex::new(Some(receiver)), ends: Mutex::default(), lease: Mutex::new(None) }
    }

    /// Makes a change durable.
    pub(crate) async fn commit(&self, change: Change) -> Committed {
        let (reply, answer) = oneshot::channel();
        if self.sender.try_send((change, reply)).is_err() {
            return Committed::NotDone("too many commands wait already".to_owned());
        }
        answer.await.unwrap_or_else(|_| Committed::Unknown("this entry host is stopping".to_owned()))
    }

    /// Takes in ends that must be durable before they are acknowledged.
    pub(crate) fn end(&self, partition: Partition, workload: WorkloadId, progress: Progress, ends: Vec<StopOrder>) {
        self.ends.lock().insert((partition, workload), (progress, ends));
    }
}

/// Commits until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    tokio::spawn(write_ends(shared.clone()));
    let Some(mut receiver) = shared.committer.receiver.lock().take() else { return };
    while let Some(first) = receiver.recv().await {
        tokio::time::sleep(GATHER).await;
        let mut operations = first.0.operations();
        let mut batch = vec![first];
        while operations < MOST_OPERATIONS / 2 {
            let Ok(next) = receiver.try_recv() else { break };
            operations += next.0.operations();
            batch.push(next);
        }
        // The next batch need not wait for the answer to this one.
        tokio::spawn(commit_batch(shared.clone(), batch));
    }
}

async fn commit_batch(shared: Arc<Shared>, batch: Vec<Pending>) {
    let together = batch.len() > 1 && unique(&batch);
    if together {
        let changes: Vec<&Change> = batch.iter().map(|(change, _)| change).collect();
        if let Committed::Done(revision) = write(&shared, &changes).await {
            for (_, reply) in batch {
                let _ = reply.send(Committed::Done(revision));
            }
            return;
        }
    }
    // One that fails must not fail the others: each is written, or settled, on its own.
    for (change, reply) in batch {
        let _ = reply.send(commit_alone(&shared, &change).await);
    }
}

/// Whether no two changes touch the same key: one transaction may write a key only once.
fn unique(batch: &[Pending]) -> bool {
    let mut seen = std::collections::BTreeSet::new();
    batch.iter().flat_map(|(change, _)| &change.expects).all(|(place, _)| seen.insert(place.key()))
}

async fn commit_alone(shared: &Shared, change: &Change) -> Committed {
    match write(shared, &[change]).await {
        Committed::Conflict => match read_receipt(shared, change.command).await {
            Ok(Some(receipt)) => Committed::Before(receipt),
            Ok(None) => Committed::Conflict,
            Err(fault) => Committed::Unknown(fault.to_string()),
        },
        Committed::Unknown(_) => settle(shared, change.command).await,
        other => other,
    }
}

async fn write(shared: &Shared, changes: &[&Change]) -> Committed {
    let lease = match receipts_lease(shared).await {
        Ok(lease) => lease,
        Err(fault) => return Committed::NotDone(fault.to_string()),
    };
    let txn = transaction(&shared.settings.cell, changes, lease);
    let outcome = shared.store.txn(Use::Acceptance, &txn).await;
    shared.platform_said(&outcome);
    match outcome {
        Ok(outcome) if outcome.succeeded => Committed::Done(outcome.revision),
        Ok(_) => Committed::Conflict,
        Err(Fault::Refused(why)) => {
            // The lease may have lapsed: the next change asks for a new one.
            *shared.committer.lease.lock() = None;
            Committed::NotDone(why)
        }
        Err(fault) if fault.may_have_happened() => Committed::Unknown(fault.to_string()),
        Err(fault) => Committed::NotDone(fault.to_string()),
    }
}

fn transaction(cell: &str, changes: &[&Change], lease: Lease) -> Txn {
    let prefix = keys::prefix(cell);
    let mut txn = Txn::default();
    for change in changes {
        let key = keys::receipt(cell, change.command);
        txn.compares.push(Compare { key: key.clone(), mod_revision: 0 });
        let receipt = Receipt { done: true, message: change.message.clone() };
        txn.puts.push(Put { key, value: keys::encode(&receipt), lease });
        for (place, revision) in &change.expects {
            txn.compares.push(Compare { key: format!("{prefix}{}", place.key()), mod_revision: *revision });
        }
        for (place, value) in &change.puts {
            txn.puts.push(Put { key: format!("{prefix}{}", place.key()), value: value.clone(), lease: 0 });
        }
        txn.deletes.extend(change.deletes.iter().map(|place| format!("{prefix}{}", place.key())));
    }
    txn
}

/// One lease holds the receipts of an hour; they end with it.
async fn receipts_lease(shared: &Shared) -> Result<Lease, Fault> {
    let now = Instant::now();
    if let Some((lease, since)) = *shared.committer.lease.lock()
        && now.duration_since(since) < RECEIPTS
    {
        return Ok(lease);
    }
    let granted = shared.store.grant(Use::Acceptance, RECEIPTS * 2).await;
    shared.platform_said(&granted);
    let lease = granted?;
    *shared.committer.lease.lock() = Some((lease, now));
    Ok(lease)
}

async fn read_receipt(shared: &Shared, command: CommandId) -> Result<Option<Receipt>, Fault> {
    let entry = shared.store.get(Use::Acceptance, &keys::receipt(&shared.settings.cell, command)).await;
    shared.platform_said(&entry);
    let entry = entry?;
    if entry.mod_revision == 0 {
        return Ok(None);
    }
    Ok(keys::decode(&entry.value).ok())
}

/// Finds out what became of a command, and keeps it from taking effect later when it has not.
pub(crate) async fn settle(shared: &Shared, command: CommandId) -> Committed {
    let mut last = String::new();
    for pause in SETTLE {
        tokio::time::sleep(pause).await;
        match fence(shared, command).await {
            Ok(Some(receipt)) => return Committed::Before(receipt),
            Ok(None) => return Committed::NotDone("the platform did not carry it out".to_owned()),
            Err(fault) => last = fault.to_string(),
        }
    }
    Committed::Unknown(last)
}

/// Writes a receipt that says "not done", unless there is one. Returns the one that is there.
async fn fence(shared: &Shared, command: CommandId) -> Result<Option<Receipt>, Fault> {
    let lease = receipts_lease(shared).await?;
    let key = keys::receipt(&shared.settings.cell, command);
    let receipt = Receipt { done: false, message: "not done: its answer was lost before it took effect".to_owned() };
    let txn = Txn {
        compares: vec![Compare { key: key.clone(), mod_revision: 0 }],
        puts: vec![Put { key, value: keys::encode(&receipt), lease }],
        deletes: Vec::new(),
    };
    let outcome = shared.store.txn(Use::Acceptance, &txn).await;
    shared.platform_said(&outcome);
    if outcome?.succeeded {
        return Ok(None);
    }
    read_receipt(shared, command).await
}

/// Writes ends of tasks until the process ends. Each is written until it is durable.
async fn write_ends(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(ENDS_EVERY).await;
        let ends = std::mem::take(&mut *shared.committer.ends.lock());
        let mut rest: Vec<_> = ends.into_iter().collect();
        while !rest.is_empty() {
            let part: Vec<_> = rest.drain(..rest.len().min(MOST_OPERATIONS / 2)).collect();
            write_part(&shared, part).await;
        }
    }
}

type End = ((Partition, WorkloadId), (Progress, Vec<StopOrder>));

async fn write_part(shared: &Arc<Shared>, part: Vec<End>) {
    let written = write_progress(shared, &part).await;
    if written {
        durable(shared, part);
        return;
    }
    if part.len() == 1 {
        return;
    }
    // A partition that was lost in the meantime must not hold up the others.
    for one in part {
        if write_progress(shared, std::slice::from_ref(&one)).await {
            durable(shared, vec![one]);
        }
    }
}

fn durable(shared: &Arc<Shared>, part: Vec<End>) {
    for ((partition, workload), (_, ends)) in part {
        shared.partitions.with(partition, |owned| owned.book.mark_persisted(&workload, &ends));
    }
}

/// Writes progress on the condition that the partitions are still claimed by this host.
async fn write_progress(shared: &Shared, part: &[End]) -> bool {
    let prefix = keys::prefix(&shared.settings.cell);
    let mut txn = Txn::default();
    let mut partitions = std::collections::BTreeSet::new();
    for ((partition, workload), (progress, _)) in part {
        let place = Place::Progress(shared.data_centre().clone(), workload.clone());
        txn.puts.push(Put { key: format!("{prefix}{}", place.key()), value: keys::encode(progress), lease: 0 });
        if partitions.insert(*partition) {
            let Some(revision) = shared.partitions.with(*partition, |owned| owned.revision) else { return false };
            let claim = Place::Claim(shared.data_centre().clone(), *partition);
            txn.compares.push(Compare { key: format!("{prefix}{}", claim.key()), mod_revision: revision });
        }
    }
    let outcome = shared.store.txn(Use::Ends, &txn).await;
    shared.platform_said(&outcome);
    matches!(outcome, Ok(outcome) if outcome.succeeded)
}
