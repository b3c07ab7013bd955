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
use work::log::{FIRST_PART, Part, PartId};
use work::{Record, format_job_id};

use crate::election::{TERM_KEY, leader_put};
use crate::leadership::Leadership;
use crate::leadership::parts::{self, part_key};
use crate::services::{CommitOutcome, Put, ServiceError, Transaction};

/// Shortest time between two transactions, besides the time that one takes: each has a price, and a group costs no more than
/// one record.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(12);
/// Most parts on their way at once: so many that a job waits only a moment for the next one, also while the store is slow.
const MAX_IN_FLIGHT: u32 = 8;
/// Most bytes of one part, about: far below the store's largest value of 1 MiB.
const MAX_PART_BYTES: usize = 256 * 1024;
/// A transaction without an answer is sent again after the time in which answers came so far, but not before this: a few times
/// the usual answer, and a pause of this process doesn't look like a lost one.
const MIN_RESEND_TIMEOUT: Duration = Duration::from_millis(80);
/// ... and at the latest after this time: twice what a slow store takes.
const MAX_FIRST_TIMEOUT: Duration = Duration::from_millis(450);
/// Each repetition waits twice as long, up to this time. No try is waited for longer.
const MAX_TIMEOUT: Duration = Duration::from_millis(1800);
/// Most tries of one transaction whose answers are waited for at once.
const MAX_CONCURRENT_TRIES: usize = 3;
/// Pause before a transaction that failed is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What one transaction writes.
#[derive(Clone)]
struct Batch {
    /// Its part of the log, if it has records; see [`crate::reign::flight`].
    part: Option<PartId>,
    /// The position that is durable once it is written, and all before it.
    up_to: u64,
    /// Whether the leader's record is written, too.
    write_leader_record: bool,
    /// Old parts that it removes.
    removed: Vec<PartId>,
}

/// A transaction that was done.
struct Committed {
    revision: u64,
    /// Steady time at which it was sent.
    sent: Duration,
}

/// Numbers the parts of a reign, and paces them.
struct Writer {
    leadership: Arc<Leadership>,
    /// Number of the next part.
    next: u64,
    /// All parts below this number are written.
    settled: u64,
    /// When the next transaction may be sent.
    due: Instant,
}

/// Writes whenever something is owed, until the reign ends.
pub(crate) async fn run(leadership: Arc<Leadership>) {
    let mut writer =
        Writer { leadership: leadership.clone(), next: FIRST_PART, settled: FIRST_PART, due: Instant::now() };
    let mut in_flight = FuturesOrdered::new();
    loop {
        let sent = in_flight.len();
        tokio::select! {
            // In the order in which they were sent, whichever is done first.
            Some(done) = in_flight.next() => match done {
                Some((batch, settled)) => writer.finish(batch, settled),
                None => return,
            },
            () = writer.wait(sent) => if let Some(batch) = writer.batch() {
                in_flight.push_back(write(leadership.clone(), batch));
            },
        }
    }
}

/// How many parts may be on their way, and how far apart they are sent, where the store usually takes so long. One at a time would let
/// a job wait for the one before its own.
fn pacing(usual: Duration) -> (u32, Duration) {
    let most = (usual.as_secs_f64() / MIN_WRITE_INTERVAL.as_secs_f64()) as u32;
    let most = most.clamp(1, MAX_IN_FLIGHT);
    (most, (usual + MIN_WRITE_INTERVAL) / most)
}

impl Writer {
    fn pacing(&self) -> (u32, Duration) {
        pacing(self.leadership.write_latency.lock().usual().unwrap_or_default())
    }

    /// Waits until something is owed and another transaction may be sent.
    async fn wait(&self, in_flight: usize) {
        while !self.leadership.engine.lock().owes() && !self.leadership.write_leader_record.load(Ordering::Acquire) {
            self.leadership.write.notified().await;
        }
        if in_flight >= self.pacing().0 as usize {
            // Until one is done.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(self.due).await;
    }

    /// Takes what the next transaction writes.
    fn batch(&mut self) -> Option<Batch> {
        parts::rewrite_old(&self.leadership);
        let (records, up_to) = self.leadership.engine.lock().take_records(MAX_PART_BYTES);
        let write_leader_record = self.leadership.write_leader_record.swap(false, Ordering::AcqRel);
        if records.is_empty() && !write_leader_record {
            return None;
        }
        let part = (!records.is_empty()).then(|| {
            let id = PartId { term: self.leadership.term, number: self.next };
            self.next += 1;
            self.leadership.pending_parts.add(id.number, Part { settled: self.settled, records });
            id
        });
        self.due = Instant::now() + self.pacing().1;
        let removed = self.removed(part);
        Some(Batch { part, up_to, write_leader_record, removed })
    }

    /// Old parts that the transaction with this part removes: with the first one what is stale, and until that is written nothing
    /// else, since a reader couldn't tell whether it was.
    fn removed(&self, part: Option<PartId>) -> Vec<PartId> {
        match part {
            Some(id) if id.number == FIRST_PART => self.leadership.stale.lock().clone(),
            _ if self.settled > FIRST_PART => parts::take_removable(&self.leadership),
            _ => Vec::new(),
        }
    }

    /// Takes in that a transaction, and all before it, are done.
    fn finish(&mut self, batch: Batch, settled: Committed) {
        let leadership = &self.leadership;
        if leadership.unanswered_since.lock().take().is_some() {
            emit!(leadership.host.log, events::PLATFORM_BACK, "call" => "transaction");
        }
        if batch.write_leader_record {
            leadership.claim.lock().record_revision = settled.revision;
        }
        let part = batch.part.and_then(|id| Some((id, leadership.pending_parts.remove(id.number)?)));
        parts::update(leadership, &part, &batch.removed);
        leadership.engine.lock().written(leadership.host.clock(), batch.up_to);
        leadership.durable.send_replace(batch.up_to);
        leadership.plan.notify_one();
        if let Some((id, part)) = &part {
            self.settled = id.number + 1;
            part.records.iter().for_each(|record| log_record(leadership, record, settled.revision));
        }
    }
}

/// Writes one part of the log. `None` when this host doesn't lead any more.
async fn write(leadership: Arc<Leadership>, batch: Batch) -> Option<(Batch, Committed)> {
    if batch.write_leader_record && !replace_lease(&leadership).await {
        leadership.write_leader_record.store(true, Ordering::Release);
    }
    let settled = commit_batch(&leadership, &batch).await?;
    leadership.confirm(settled.sent);
    Some((batch, settled))
}

/// Sends a transaction until its outcome is known. `None` when this host doesn't lead any more.
async fn commit_batch(leadership: &Arc<Leadership>, batch: &Batch) -> Option<Committed> {
    let began = leadership.host.started.elapsed();
    let usual = leadership.write_latency.lock().patience(MIN_RESEND_TIMEOUT, MAX_FIRST_TIMEOUT);
    let mut timeout = usual;
    let mut resend_at = Instant::now() + usual;
    let mut tries = FuturesUnordered::new();
    // Whether a try that has ended may have been done.
    let mut maybe_written = false;
    tries.push(attempt(leadership, transaction(leadership, batch)?, None));
    loop {
        let error = tokio::select! {
            Some((sent, outcome)) = tries.next() => match outcome {
                Ok(CommitOutcome::Done(revision)) => {
                    leadership.write_latency.lock().observe(leadership.host.started.elapsed() - sent);
                    return Some(Committed { revision, sent });
                }
                Ok(CommitOutcome::Conflict(_)) => {
                    leadership.step_down("the counter of terms was changed by another host");
                    leadership.host.leadership_ended(leadership.term);
                    return None;
                }
                // Only the leader's record is under a lease; it is written again on its own.
                Ok(CommitOutcome::NoLease) => {
                    leadership.write_leader_record.store(true, Ordering::Release);
                    let bare = Batch { write_leader_record: false, ..batch.clone() };
                    return Box::pin(commit_batch(leadership, &bare)).await;
                }
                Err(error) => {
                    maybe_written |= !matches!(error, ServiceError::NotDone(_));
                    if tries.is_empty() && !maybe_written && let Some(part) = batch.part {
                        leadership.pending_parts.mark_unwritten(part.number);
                    }
                    resend_at = resend_at.min(Instant::now() + RETRY_DELAY);
                    error.to_string()
                }
            },
            () = tokio::time::sleep_until(resend_at), if tries.len() < MAX_CONCURRENT_TRIES => {
                timeout = MAX_TIMEOUT.min(timeout * 2);
                resend_at = Instant::now() + timeout;
                tries.push(attempt(leadership, transaction(leadership, batch)?, Some(usual)));
                "no answer yet".to_owned()
            }
        };
        if leadership.unanswered_since.lock().replace(began).is_none() {
            emit!(leadership.host.log, events::WRITE_UNSETTLED, "fault" => error, "after_ms" => usual.as_millis() as u64);
        }
    }
}

/// Sends a transaction once: when, and what became of it. A repetition ends `unheard` after the store answers other calls.
async fn attempt(
    leadership: &Leadership,
    transaction: Transaction,
    give_up_after: Option<Duration>,
) -> (Duration, Result<CommitOutcome, ServiceError>) {
    let sent = leadership.host.started.elapsed();
    let committed = leadership.host.services.store.commit(&transaction, MAX_TIMEOUT);
    let outcome = match give_up_after {
        None => committed.await,
        Some(usual) => give_up_when_store_answers(leadership, sent, usual, committed).await,
    };
    (sent, outcome)
}

/// Waits for a repeated transaction, but not much longer once the store answers other calls again: what was sent while it was
/// away gets no answer, and callers would be refused for longer than the outage lasts.
async fn give_up_when_store_answers(
    leadership: &Leadership,
    sent: Duration,
    usual: Duration,
    committed: impl Future<Output = Result<CommitOutcome, ServiceError>>,
) -> Result<CommitOutcome, ServiceError> {
    let heard = async {
        leadership.wait_for_store_answer(sent).await;
        tokio::time::sleep(usual).await;
    };
    tokio::select! {
        outcome = committed => outcome,
        () = heard => Err(ServiceError::Unknown("the store answers other calls".to_owned())),
    }
}

/// The transaction as it is to be sent now. `None` when it can't be encoded, which ends the reign.
fn transaction(leadership: &Leadership, batch: &Batch) -> Option<Transaction> {
    match encode(leadership, batch) {
        Ok(transaction) => Some(transaction),
        Err(error) => {
            emit!(leadership.host.log, events::RECORD_UNREADABLE, "key" => TERM_KEY, "fault" => error.to_string());
            leadership.step_down("a part of the log can't be encoded");
            None
        }
    }
}

fn encode(leadership: &Leadership, batch: &Batch) -> anyhow::Result<Transaction> {
    let claim = leadership.claim.lock();
    let mut puts = Vec::new();
    if let Some(id) = batch.part
        && let Some(part) = leadership.pending_parts.mark_sent(id.number)
    {
        puts.push(Put { key: part_key(id), value: parts::encode(&part)?, lease: 0 });
    }
    if batch.write_leader_record {
        puts.push(leader_put(&claim.leader, claim.lease)?);
    }
    Ok(Transaction {
        expected: vec![(TERM_KEY.to_owned(), claim.revision)],
        puts,
        removes: batch.removed.iter().map(|id| part_key(*id)).collect(),
    })
}

/// Creates a new lease for the leader's record. Whether the store gave one.
async fn replace_lease(leadership: &Leadership) -> bool {
    match leadership.host.services.store.grant_lease(leadership.host.settings.lease_ttl).await {
        Ok(lease) => {
            leadership.claim.lock().lease = lease;
            true
        }
        Err(error) => {
            emit!(leadership.host.log, events::PLATFORM_FAILED, "call" => "lease", "fault" => error.to_string());
            false
        }
    }
}

fn log_record(leadership: &Leadership, record: &Record, revision: u64) {
    let log = &leadership.host.log;
    match record {
        Record::Accepted { id, queue, workspace, job, .. } => {
            emit!(log, events::JOB_ACCEPTED, "job" => format_job_id(*id),
            "queue" => queue, "workspace" => workspace, "steps" => job.steps.len(),
            "tasks" => job.steps.iter().map(|step| step.count).sum::<u32>(),
            "largest" => job.steps.iter().map(|step| step.need).fold(Resources::ZERO, |most, need| most.max(&need)).to_string(),
            "revision" => revision, "term" => leadership.term)
        }
        Record::Ended { id, outcome, .. } => {
            let summary = leadership.engine.lock().summary(*id).unwrap_or_default();
            let took = summary.took;
            leadership.host.metrics.job_seconds.observe(took.as_secs_f64());
            emit!(log, events::JOB_ENDED, "job" => format_job_id(*id), "outcome" => format!("{outcome:?}"),
                "queue" => summary.queue, "took_ms" => took.as_millis() as u64,
                "objective_ms" => summary.objective.as_millis() as u64, "revision" => revision, "term" => leadership.term);
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
