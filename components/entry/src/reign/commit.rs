//! Writes the log: what is owed goes out in groups, one transaction at a time.
//!
//! Each part of the log is written together with the counter of terms, on the condition that nobody else has changed
//! it. A transaction without an answer is repeated as it was: once it, or its repetition, is done, a late one fails.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::emit;
use model::Resources;
use work::{Record, job_name};

use crate::edge::{Commit, Fault, Item, Put, Transaction};
use crate::election::{CHAIN_KEY, Chain, chain_put, leader_put};
use crate::reign::{LOG_PREFIX, Reign, Seat, part};

/// Shortest time between two transactions: each has a price, and a group costs no more than one record.
const PACE: Duration = Duration::from_millis(12);
/// Most bytes of one part, about: far below the store's largest value of 1 MiB.
const MOST_BYTES: usize = 256 * 1024;
/// Most old parts removed by one transaction: the store takes 32 entries.
const MOST_REMOVED: usize = 24;
/// A transaction without an answer is repeated after the time in which answers came so far, but not before this: a few times
/// the usual answer, and a pause of this process doesn't look like a lost one.
const LEAST_PATIENCE: Duration = Duration::from_millis(80);
/// ... and at the latest after this time: twice what a slow store takes.
const FIRST_PATIENCE: Duration = Duration::from_millis(450);
/// Each repetition waits twice as long, up to this time.
const MOST_PATIENCE: Duration = Duration::from_millis(1800);
/// Pause before a transaction is repeated.
const PAUSE: Duration = Duration::from_millis(60);
/// Parts are removed after this time: most of their jobs have ended by then, and of these only the outcome is written
/// anew. So a new leader reads the jobs of some seconds, also over a slow link.
const KEEP_PART: Duration = Duration::from_secs(12);

/// What one transaction writes.
struct Batch {
    records: Vec<Record>,
    /// The position that is durable once it is written.
    upto: u64,
    /// Whether the leader's record is written, too.
    restore: bool,
}

/// A transaction that was done.
struct Settled {
    revision: u64,
    /// Steady time at which it was sent.
    sent: Duration,
}

/// Writes whenever something is owed, until the reign ends.
pub(crate) async fn run(reign: Arc<Reign>) {
    loop {
        if !reign.engine.lock().owes() && !reign.restore.load(Ordering::Acquire) {
            reign.write.notified().await;
        }
        clean(&reign);
        let (records, upto) = reign.engine.lock().take_records(MOST_BYTES);
        let batch = Batch { records, upto, restore: reign.restore.swap(false, Ordering::AcqRel) };
        if batch.records.is_empty() && !batch.restore {
            continue;
        }
        if !write(&reign, &batch).await {
            return;
        }
        tokio::time::sleep(PACE).await;
    }
}

/// Writes one part of the log. Whether this host still leads.
async fn write(reign: &Arc<Reign>, batch: &Batch) -> bool {
    if batch.restore && !renew_lease(reign).await {
        reign.restore.store(true, Ordering::Release);
    }
    let removed = removable(reign);
    let seat = reign.seat.lock().clone();
    let next = Chain { term: seat.chain.term, next: seat.chain.next + 1 };
    let transaction = match transaction(&seat, &next, batch, &removed) {
        Ok(transaction) => transaction,
        Err(fault) => {
            emit!(reign.host.log, events::RECORD_UNREADABLE, "key" => LOG_PREFIX, "fault" => fault.to_string());
            return true;
        }
    };
    let Some(settled) = settle(reign, &transaction, &next).await else { return false };
    if reign.unsettled.lock().take().is_some() {
        emit!(reign.host.log, events::PLATFORM_BACK, "call" => "transaction");
    }
    reign.confirm(settled.sent);
    advance(reign, next, batch, settled.revision);
    keep_parts(reign, next.next - 1, batch, &removed);
    reign.engine.lock().written(reign.host.clock(), batch.upto);
    reign.durable.send_replace(batch.upto);
    reign.plan.notify_one();
    batch.records.iter().for_each(|record| log_record(reign, record, settled.revision));
    true
}

/// Takes the counter of terms, and the revision that the next transaction expects, from the one that was done.
fn advance(reign: &Reign, next: Chain, batch: &Batch, revision: u64) {
    let mut seat = reign.seat.lock();
    seat.chain = next;
    seat.revision = revision;
    if batch.restore {
        seat.record = revision;
    }
}

/// Takes note of the parts that the log has now: those that were removed are gone, and `number` is new.
fn keep_parts(reign: &Reign, number: u64, batch: &Batch, removed: &[u64]) {
    let mut parts = reign.parts.lock();
    parts.retain(|part| !removed.contains(&part.number));
    if !batch.records.is_empty() {
        parts.push(part(number, reign.host.started.elapsed(), &batch.records));
    }
}

/// Repeats a transaction until its outcome is known. `None` when this host doesn't lead any more.
async fn settle(reign: &Arc<Reign>, transaction: &Transaction, next: &Chain) -> Option<Settled> {
    let began = reign.host.started.elapsed();
    let usual = reign.write_latency.lock().patience(LEAST_PATIENCE, FIRST_PATIENCE);
    let mut patience = usual;
    loop {
        let sent = reign.host.started.elapsed();
        let committed = reign.host.edges.store.commit(transaction, patience);
        let outcome = match patience == usual {
            true => committed.await,
            false => unless_heard(reign, sent, usual, committed).await,
        };
        patience = MOST_PATIENCE.min(patience * 2);
        match outcome {
            Ok(Commit::Done(revision)) => {
                reign.write_latency.lock().observe(reign.host.started.elapsed() - sent);
                return Some(Settled { revision, sent });
            }
            Ok(Commit::Conflict(items)) => match done_before(&items, next) {
                Some(revision) => {
                    // An earlier try was only slow: its own time isn't known, but that it took longer than was waited.
                    reign.write_latency.lock().observe(reign.host.started.elapsed() - began);
                    return Some(Settled { revision, sent });
                }
                None => {
                    reign.depose("the counter of terms was changed by another host");
                    reign.host.left(reign.term);
                    return None;
                }
            },
            // Only the leader's record is under a lease; it is written again on its own.
            Ok(Commit::NoLease) => {
                reign.restore.store(true, Ordering::Release);
                let mut bare = transaction.clone();
                bare.puts.retain(|put| put.lease == 0);
                return Box::pin(settle(reign, &bare, next)).await;
            }
            Err(fault @ (Fault::NotDone(_) | Fault::Unknown(_) | Fault::Malformed(_))) => {
                if reign.unsettled.lock().replace(began).is_none() {
                    emit!(reign.host.log, events::WRITE_UNSETTLED, "part" => next.next - 1,
                        "fault" => fault.to_string());
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Waits for a repeated transaction, but not much longer once the store answers other calls again: what was sent while it was
/// away gets no answer. With the shorter first wait it ends an outage of 4.2 s 0.7 s earlier; on 27 days of trouble callers were
/// refused for good 265 times instead of 331.
async fn unless_heard(
    reign: &Reign,
    sent: Duration,
    usual: Duration,
    committed: impl Future<Output = Result<Commit, Fault>>,
) -> Result<Commit, Fault> {
    let heard = async {
        reign.heard_since(sent).await;
        tokio::time::sleep(usual).await;
    };
    tokio::select! {
        outcome = committed => outcome,
        () = heard => Err(Fault::Unknown("the store answers other calls".to_owned())),
    }
}

/// Whether a conflict shows that this very transaction was done before.
fn done_before(items: &[Item], next: &Chain) -> Option<u64> {
    let item = items.iter().find(|item| item.key == CHAIN_KEY)?;
    let now: Chain = postcard::from_bytes(&item.value).ok()?;
    (now == *next).then_some(item.revision)
}

fn transaction(seat: &Seat, next: &Chain, batch: &Batch, removed: &[u64]) -> anyhow::Result<Transaction> {
    let mut puts = vec![chain_put(next)?];
    if !batch.records.is_empty() {
        puts.push(Put { key: part_key(seat.chain.next), value: postcard::to_stdvec(&batch.records)?, lease: 0 });
    }
    if batch.restore
        && let Ok(put) = leader_put(&seat.leader, seat.lease)
    {
        puts.push(put);
    }
    Ok(Transaction {
        expected: vec![(CHAIN_KEY.to_owned(), seat.revision)],
        puts,
        removes: removed.iter().map(|number| part_key(*number)).collect(),
    })
}

fn part_key(number: u64) -> String {
    format!("{LOG_PREFIX}{number:012}")
}

/// Creates a new lease for the leader's record. Whether the store gave one.
async fn renew_lease(reign: &Reign) -> bool {
    match reign.host.edges.store.lease(reign.host.settings.lease_ttl).await {
        Ok(lease) => {
            reign.seat.lock().lease = lease;
            true
        }
        Err(fault) => {
            emit!(reign.host.log, events::PLATFORM_FAILED, "call" => "lease", "fault" => fault.to_string());
            false
        }
    }
}

/// Writes anew what is still needed of old parts, so that they can be removed.
fn clean(reign: &Reign) {
    let now = reign.host.started.elapsed();
    let mut parts = reign.parts.lock();
    let mut engine = reign.engine.lock();
    for part in parts.iter_mut().take(MOST_REMOVED) {
        if now.saturating_sub(part.written) < KEEP_PART {
            break;
        }
        std::mem::take(&mut part.jobs).into_iter().for_each(|id| engine.rewrite(id));
        if std::mem::take(&mut part.workers) {
            engine.rewrite_workers();
        }
    }
}

/// Old parts whose contents were written anew before this transaction.
fn removable(reign: &Reign) -> Vec<u64> {
    let now = reign.host.started.elapsed();
    if reign.engine.lock().owes() {
        return Vec::new();
    }
    let parts = reign.parts.lock();
    let old = parts.iter().take_while(|part| now.saturating_sub(part.written) >= KEEP_PART);
    old.filter(|part| part.jobs.is_empty() && !part.workers).map(|part| part.number).take(MOST_REMOVED).collect()
}

fn log_record(reign: &Reign, record: &Record, revision: u64) {
    let log = &reign.host.log;
    match record {
        Record::Accepted { id, queue, job, .. } => emit!(log, events::JOB_ACCEPTED, "job" => job_name(*id),
            "queue" => queue, "steps" => job.steps.len(),
            "tasks" => job.steps.iter().map(|step| step.count).sum::<u32>(),
            "largest" => job.steps.iter().map(|step| step.need).fold(Resources::ZERO, |most, need| most.max(&need)).to_string(),
            "revision" => revision, "term" => reign.term),
        Record::Ended { id, outcome } => {
            let summary = reign.engine.lock().summary(*id).unwrap_or_default();
            let took = summary.took;
            reign.host.metrics.job_seconds.observe(took.as_secs_f64());
            emit!(log, events::JOB_ENDED, "job" => job_name(*id), "outcome" => format!("{outcome:?}"),
                "queue" => summary.queue, "took_ms" => took.as_millis() as u64,
                "objective_ms" => summary.objective.as_millis() as u64, "revision" => revision, "term" => reign.term);
        }
        Record::Worker { id, address } => emit!(log, events::WORKER_RECORDED, "worker" => id, "address" => address),
        Record::Gone { id } => emit!(log, events::WORKER_GONE, "worker" => id),
        // Starts are logged when they are sent, ends when workers report them.
        Record::Rewritten(_) | Record::Placed { .. } | Record::Done { .. } | Record::Failed { .. } => {}
    }
}
