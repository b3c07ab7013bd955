//! Writes the log: what is owed goes out in groups.
//!
//! Each part of the log is written on the condition that nobody has claimed the leadership since. While the store is quick one
//! transaction is on its way at a time; while it is slow, several are. What they wrote counts in their order: see [`work::log`].
//! A transaction without an answer is sent again as it was, and the first answer counts: done twice, it changes nothing more.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::emit;
use futures_util::StreamExt;
use futures_util::stream::{FuturesOrdered, FuturesUnordered};
use model::Resources;
use tokio::time::Instant;
use work::log::{FIRST, Part, PartId};
use work::{Record, job_name};

use crate::edge::{CommitOutcome, Put, ServiceError, Transaction};
use crate::election::{TERM_KEY, leader_put};
use crate::reign::Leadership;
use crate::reign::parts::{self, part_key};

/// Shortest time between two transactions, besides the time that one takes: each has a price, and a group costs no more than
/// one record.
const PACE: Duration = Duration::from_millis(12);
/// Most parts on their way at once: so many that a job waits only a moment for the next one, also while the store is slow.
const MOST_UNDER_WAY: u32 = 8;
/// Most bytes of one part, about: far below the store's largest value of 1 MiB.
const MOST_BYTES: usize = 256 * 1024;
/// A transaction without an answer is sent again after the time in which answers came so far, but not before this: a few times
/// the usual answer, and a pause of this process doesn't look like a lost one.
const LEAST_PATIENCE: Duration = Duration::from_millis(80);
/// ... and at the latest after this time: twice what a slow store takes.
const FIRST_PATIENCE: Duration = Duration::from_millis(450);
/// Each repetition waits twice as long, up to this time. No try is waited for longer.
const MOST_PATIENCE: Duration = Duration::from_millis(1800);
/// Most tries of one transaction whose answers are waited for at once.
const MOST_TRIES: usize = 3;
/// Pause before a transaction that failed is sent again.
const PAUSE: Duration = Duration::from_millis(60);

/// What one transaction writes.
#[derive(Clone)]
struct Batch {
    /// Its part of the log, if it has records; see [`crate::reign::flight`].
    part: Option<PartId>,
    /// The position that is durable once it is written, and all before it.
    upto: u64,
    /// Whether the leader's record is written, too.
    restore: bool,
    /// Old parts that it removes.
    removed: Vec<PartId>,
}

/// A transaction that was done.
struct Settled {
    revision: u64,
    /// Steady time at which it was sent.
    sent: Duration,
}

/// Numbers the parts of a reign, and paces them.
struct Writer {
    reign: Arc<Leadership>,
    /// Number of the next part.
    next: u64,
    /// All parts below this number are written.
    settled: u64,
    /// When the next transaction may be sent.
    due: Instant,
}

/// Writes whenever something is owed, until the reign ends.
pub(crate) async fn run(reign: Arc<Leadership>) {
    let mut writer = Writer { reign: reign.clone(), next: FIRST, settled: FIRST, due: Instant::now() };
    let mut under_way = FuturesOrdered::new();
    loop {
        let sent = under_way.len();
        tokio::select! {
            // In the order in which they were sent, whichever is done first.
            Some(done) = under_way.next() => match done {
                Some((batch, settled)) => writer.finish(batch, settled),
                None => return,
            },
            () = writer.wait(sent) => if let Some(batch) = writer.batch() {
                under_way.push_back(write(reign.clone(), batch));
            },
        }
    }
}

/// How many parts may be on their way, and how far apart they are sent, where the store usually takes so long. One at a time would let
/// a job wait for the one before its own.
fn pace(usual: Duration) -> (u32, Duration) {
    let most = (usual.as_secs_f64() / PACE.as_secs_f64()) as u32;
    let most = most.clamp(1, MOST_UNDER_WAY);
    (most, (usual + PACE) / most)
}

impl Writer {
    fn pace(&self) -> (u32, Duration) {
        pace(self.reign.write_latency.lock().usual().unwrap_or_default())
    }

    /// Waits until something is owed and another transaction may be sent.
    async fn wait(&self, under_way: usize) {
        while !self.reign.engine.lock().owes() && !self.reign.restore.load(Ordering::Acquire) {
            self.reign.write.notified().await;
        }
        if under_way >= self.pace().0 as usize {
            // Until one is done.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(self.due).await;
    }

    /// Takes what the next transaction writes.
    fn batch(&mut self) -> Option<Batch> {
        parts::clean(&self.reign);
        let (records, upto) = self.reign.engine.lock().take_records(MOST_BYTES);
        let restore = self.reign.restore.swap(false, Ordering::AcqRel);
        if records.is_empty() && !restore {
            return None;
        }
        let part = (!records.is_empty()).then(|| {
            let id = PartId { term: self.reign.term, number: self.next };
            self.next += 1;
            self.reign.flights.launch(id.number, Part { settled: self.settled, records });
            id
        });
        self.due = Instant::now() + self.pace().1;
        let removed = self.removed(part);
        Some(Batch { part, upto, restore, removed })
    }

    /// Old parts that the transaction with this part removes: with the first one what is stale, and until that is written nothing
    /// else, since a reader couldn't tell whether it was.
    fn removed(&self, part: Option<PartId>) -> Vec<PartId> {
        match part {
            Some(id) if id.number == FIRST => self.reign.stale.lock().clone(),
            _ if self.settled > FIRST => parts::removable(&self.reign),
            _ => Vec::new(),
        }
    }

    /// Takes in that a transaction, and all before it, are done.
    fn finish(&mut self, batch: Batch, settled: Settled) {
        let reign = &self.reign;
        if reign.unsettled.lock().take().is_some() {
            emit!(reign.host.log, events::PLATFORM_BACK, "call" => "transaction");
        }
        if batch.restore {
            reign.seat.lock().record = settled.revision;
        }
        let part = batch.part.and_then(|id| Some((id, reign.flights.land(id.number)?)));
        parts::keep(reign, &part, &batch.removed);
        reign.engine.lock().written(reign.host.clock(), batch.upto);
        reign.durable.send_replace(batch.upto);
        reign.plan.notify_one();
        if let Some((id, part)) = &part {
            self.settled = id.number + 1;
            part.records.iter().for_each(|record| log_record(reign, record, settled.revision));
        }
    }
}

/// Writes one part of the log. `None` when this host doesn't lead any more.
async fn write(reign: Arc<Leadership>, batch: Batch) -> Option<(Batch, Settled)> {
    if batch.restore && !renew_lease(&reign).await {
        reign.restore.store(true, Ordering::Release);
    }
    let settled = settle(&reign, &batch).await?;
    reign.confirm(settled.sent);
    Some((batch, settled))
}

/// Sends a transaction until its outcome is known. `None` when this host doesn't lead any more.
async fn settle(reign: &Arc<Leadership>, batch: &Batch) -> Option<Settled> {
    let began = reign.host.started.elapsed();
    let usual = reign.write_latency.lock().patience(LEAST_PATIENCE, FIRST_PATIENCE);
    let mut patience = usual;
    let mut again = Instant::now() + usual;
    let mut tries = FuturesUnordered::new();
    // Whether a try that has ended may have been done.
    let mut doubtful = false;
    tries.push(attempt(reign, transaction(reign, batch)?, None));
    loop {
        let fault = tokio::select! {
            Some((sent, outcome)) = tries.next() => match outcome {
                Ok(CommitOutcome::Done(revision)) => {
                    reign.write_latency.lock().observe(reign.host.started.elapsed() - sent);
                    return Some(Settled { revision, sent });
                }
                Ok(CommitOutcome::Conflict(_)) => {
                    reign.depose("the counter of terms was changed by another host");
                    reign.host.left(reign.term);
                    return None;
                }
                // Only the leader's record is under a lease; it is written again on its own.
                Ok(CommitOutcome::NoLease) => {
                    reign.restore.store(true, Ordering::Release);
                    let bare = Batch { restore: false, ..batch.clone() };
                    return Box::pin(settle(reign, &bare)).await;
                }
                Err(fault) => {
                    doubtful |= !matches!(fault, ServiceError::NotDone(_));
                    if tries.is_empty() && !doubtful && let Some(part) = batch.part {
                        reign.flights.refused(part.number);
                    }
                    again = again.min(Instant::now() + PAUSE);
                    fault.to_string()
                }
            },
            () = tokio::time::sleep_until(again), if tries.len() < MOST_TRIES => {
                patience = MOST_PATIENCE.min(patience * 2);
                again = Instant::now() + patience;
                tries.push(attempt(reign, transaction(reign, batch)?, Some(usual)));
                "no answer yet".to_owned()
            }
        };
        if reign.unsettled.lock().replace(began).is_none() {
            emit!(reign.host.log, events::WRITE_UNSETTLED, "fault" => fault, "after_ms" => usual.as_millis() as u64);
        }
    }
}

/// Sends a transaction once: when, and what became of it. A repetition ends `unheard` after the store answers other calls.
async fn attempt(
    reign: &Leadership,
    transaction: Transaction,
    unheard: Option<Duration>,
) -> (Duration, Result<CommitOutcome, ServiceError>) {
    let sent = reign.host.started.elapsed();
    let committed = reign.host.services.store.commit(&transaction, MOST_PATIENCE);
    let outcome = match unheard {
        None => committed.await,
        Some(usual) => unless_heard(reign, sent, usual, committed).await,
    };
    (sent, outcome)
}

/// Waits for a repeated transaction, but not much longer once the store answers other calls again: what was sent while it was
/// away gets no answer, and callers would be refused for longer than the outage lasts.
async fn unless_heard(
    reign: &Leadership,
    sent: Duration,
    usual: Duration,
    committed: impl Future<Output = Result<CommitOutcome, ServiceError>>,
) -> Result<CommitOutcome, ServiceError> {
    let heard = async {
        reign.heard_since(sent).await;
        tokio::time::sleep(usual).await;
    };
    tokio::select! {
        outcome = committed => outcome,
        () = heard => Err(ServiceError::Unknown("the store answers other calls".to_owned())),
    }
}

/// The transaction as it is to be sent now. `None` when it can't be encoded, which ends the reign.
fn transaction(reign: &Leadership, batch: &Batch) -> Option<Transaction> {
    match encode(reign, batch) {
        Ok(transaction) => Some(transaction),
        Err(fault) => {
            emit!(reign.host.log, events::RECORD_UNREADABLE, "key" => TERM_KEY, "fault" => fault.to_string());
            reign.depose("a part of the log can't be encoded");
            None
        }
    }
}

fn encode(reign: &Leadership, batch: &Batch) -> anyhow::Result<Transaction> {
    let seat = reign.seat.lock();
    let mut puts = Vec::new();
    if let Some(id) = batch.part
        && let Some(part) = reign.flights.send(id.number)
    {
        puts.push(Put { key: part_key(id), value: parts::encode(&part)?, lease: 0 });
    }
    if batch.restore {
        puts.push(leader_put(&seat.leader, seat.lease)?);
    }
    Ok(Transaction {
        expected: vec![(TERM_KEY.to_owned(), seat.revision)],
        puts,
        removes: batch.removed.iter().map(|id| part_key(*id)).collect(),
    })
}

/// Creates a new lease for the leader's record. Whether the store gave one.
async fn renew_lease(reign: &Leadership) -> bool {
    match reign.host.services.store.grant_lease(reign.host.settings.lease_ttl).await {
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

fn log_record(reign: &Leadership, record: &Record, revision: u64) {
    let log = &reign.host.log;
    match record {
        Record::Accepted { id, queue, workspace, job, .. } => emit!(log, events::JOB_ACCEPTED, "job" => job_name(*id),
            "queue" => queue, "workspace" => workspace, "steps" => job.steps.len(),
            "tasks" => job.steps.iter().map(|step| step.count).sum::<u32>(),
            "largest" => job.steps.iter().map(|step| step.need).fold(Resources::ZERO, |most, need| most.max(&need)).to_string(),
            "revision" => revision, "term" => reign.term),
        Record::Ended { id, outcome, .. } => {
            let summary = reign.engine.lock().summary(*id).unwrap_or_default();
            let took = summary.took;
            reign.host.metrics.job_seconds.observe(took.as_secs_f64());
            emit!(log, events::JOB_ENDED, "job" => job_name(*id), "outcome" => format!("{outcome:?}"),
                "queue" => summary.queue, "took_ms" => took.as_millis() as u64,
                "objective_ms" => summary.objective.as_millis() as u64, "revision" => revision, "term" => reign.term);
        }
        Record::Worker { id, address } => emit!(log, events::WORKER_RECORDED, "worker" => id, "address" => address),
        // Starts are logged when they are sent, ends when workers report them, ends of workers and crashes when they are learnt.
        Record::Rewritten(_)
        | Record::Gone { .. }
        | Record::Placed { .. }
        | Record::Done { .. }
        | Record::Failed { .. }
        | Record::Crashed { .. }
        | Record::RunLost { .. }
        | Record::Leftover { .. } => {}
    }
}
