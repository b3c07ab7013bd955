//! Writes the log: pending records are committed in groups.
//!
//! Each part of the log is written on the condition that no other host has claimed leadership since. While the store
//! is fast, one transaction is in flight at a time; while it is slow, several are. Their parts take effect in order:
//! see [`work::log`]. A transaction without a response is sent again unchanged, and the first response counts:
//! transactions are idempotent.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use events::emit;
use futures_util::StreamExt;
use futures_util::stream::{FuturesOrdered, FuturesUnordered};
use model::Resources;
use sched::share::Class;
use tokio::time::Instant;
use work::log::{FIRST_PART, Part, PartId};
use work::{Record, format_job_id};

use crate::claim::{TERM_KEY, last_leader_put, leader_put};
use crate::leadership::Leadership;
use crate::leadership::parts::{self, part_key};
use crate::services::{CommitOutcome, LeaseId, Put, ServiceError, Transaction};

/// Minimum time between two transactions, in addition to the duration of one. Each transaction has a cost, and a
/// group of records costs no more than a single one.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(12);
/// Maximum number of parts in flight, large enough that a job waits only briefly for the next part even while the
/// store is slow.
const MAX_IN_FLIGHT: u32 = 8;
/// Maximum size of a part with several records, if the store accepts values of this size. A new leader reads pages of
/// up to 1 MB, and smaller parts are sent again sooner when a response is lost.
const MAX_PART_BYTES: usize = 256 * 1024;
/// A transaction without a response is sent again after a time derived from the observed latency, but not before
/// this: a few times the usual latency, so that a pause of this process isn't mistaken for a lost response.
const MIN_RESEND_TIMEOUT: Duration = Duration::from_millis(80);
/// Upper bound for that time: twice what a slow store takes.
const MAX_FIRST_TIMEOUT: Duration = Duration::from_millis(450);
/// Each further try waits twice as long as the one before, up to this time, which is also the timeout of a single
/// try.
const MAX_TIMEOUT: Duration = Duration::from_millis(1800);
/// Maximum number of concurrent tries of one transaction.
const MAX_CONCURRENT_TRIES: usize = 3;
/// Delay before a failed transaction is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Number of rejections of a transaction after which the leadership ends. Until then, callers whose jobs
/// weren't written in time withdraw their jobs, which may make the part acceptable.
const MAX_REJECTIONS: u32 = 20;

/// Contents of one transaction.
#[derive(Clone)]
struct Batch {
    /// Its part of the log, if it has records; see [`crate::leadership::pending`].
    part: Option<PartId>,
    /// Log position that is durable once this transaction and all before it are committed.
    up_to: u64,
    /// Whether the leader's record is written as well.
    write_leader_record: bool,
    /// The lease that was to be attached to that record, and when it was requested.
    lease: LeaseId,
    lease_requested_at: Duration,
    /// Whether the record of the last leader is, since its predecessors have ended.
    write_last_leader: bool,
    /// Old parts that are deleted.
    removed: Vec<PartId>,
}

/// A committed transaction.
struct Committed {
    revision: u64,
    /// When it was sent, on the monotonic clock.
    sent: Duration,
}

/// Numbers the parts of this leadership and limits their rate.
struct Writer {
    leadership: Arc<Leadership>,
    /// Number of the next part.
    next: u64,
    /// All parts below this number are written.
    settled: u64,
    /// When the next transaction may be sent.
    due: Instant,
}

/// Writes pending records until the leadership ends.
pub(crate) async fn run(leadership: Arc<Leadership>) {
    let mut writer =
        Writer { leadership: leadership.clone(), next: FIRST_PART, settled: FIRST_PART, due: Instant::now() };
    let mut in_flight = FuturesOrdered::new();
    loop {
        let sent = in_flight.len();
        tokio::select! {
            // Results are handled in the order of sending, whichever transaction is committed first.
            Some(done) = in_flight.next() => match done {
                Some((batch, committed)) => writer.finish(batch, committed),
                None => return,
            },
            () = writer.wait(sent) => if let Some(batch) = writer.batch() {
                in_flight.push_back(write(leadership.clone(), batch));
            },
        }
    }
}

/// Maximum number of parts in flight and the interval between them, for the usual latency of the store. With one part
/// at a time, a job would have to wait for the part before its own.
fn pacing(usual: Duration) -> (u32, Duration) {
    let max_in_flight = (usual.as_secs_f64() / MIN_WRITE_INTERVAL.as_secs_f64()) as u32;
    let max_in_flight = max_in_flight.clamp(1, MAX_IN_FLIGHT);
    (max_in_flight, (usual + MIN_WRITE_INTERVAL) / max_in_flight)
}

impl Writer {
    fn pacing(&self) -> (u32, Duration) {
        pacing(self.leadership.write_latency.lock().smoothed().unwrap_or_default())
    }

    /// Waits until records are pending and another transaction may be sent.
    async fn wait(&self, in_flight: usize) {
        while !self.leadership.engine.lock().has_pending_records()
            && !self.leadership.write_leader_record.load(Ordering::Acquire)
        {
            self.leadership.write.notified().await;
        }
        if in_flight >= self.pacing().0 as usize {
            // Waits until the select loop in [`run`] is woken by a committed transaction.
            std::future::pending::<()>().await;
        }
        tokio::time::sleep_until(self.due).await;
    }

    /// Takes the contents of the next transaction.
    fn batch(&mut self) -> Option<Batch> {
        parts::rewrite_old(&self.leadership);
        let max_part = MAX_PART_BYTES.min(self.leadership.host.settings.max_value);
        let (records, up_to) = self.leadership.engine.lock().take_records(parts::max_records_size(max_part));
        let write_leader_record = self.leadership.write_leader_record.swap(false, Ordering::AcqRel);
        if records.is_empty() && !write_leader_record {
            return None;
        }
        let write_last_leader = self.leadership.write_last_leader.swap(false, Ordering::AcqRel);
        let part = (!records.is_empty()).then(|| {
            let id = PartId { term: self.leadership.term, number: self.next };
            self.next += 1;
            self.leadership.pending_parts.add(id.number, Part { settled: self.settled, records });
            id
        });
        self.due = Instant::now() + self.pacing().1;
        let removed = self.removed(part);
        let (lease, lease_requested_at) = self.leadership.record_lease_request();
        Some(Batch { part, up_to, write_leader_record, lease, lease_requested_at, write_last_leader, removed })
    }

    /// Old parts that the transaction with this part deletes. The first part deletes the stale ones; until it is
    /// written nothing else is deleted, because a reader couldn't tell whether it was written.
    fn removed(&self, part: Option<PartId>) -> Vec<PartId> {
        match part {
            Some(id) if id.number == FIRST_PART => self.leadership.stale.lock().clone(),
            _ if self.settled > FIRST_PART => parts::take_removable(&self.leadership),
            _ => Vec::new(),
        }
    }

    /// Records that a transaction and all before it are committed.
    fn finish(&mut self, batch: Batch, committed: Committed) {
        let leadership = &self.leadership;
        if leadership.unanswered_since.lock().take().is_some() {
            emit!(leadership.host.log, events::PLATFORM_RECOVERED, "call" => "transaction");
        }
        if batch.write_leader_record {
            leadership.note_record(committed.revision, batch.lease, batch.lease_requested_at);
        }
        let part = batch.part.and_then(|id| Some((id, leadership.pending_parts.remove(id.number)?)));
        parts::update(leadership, &part, &batch.removed);
        leadership.engine.lock().mark_durable(leadership.host.clock(), batch.up_to);
        leadership.durable.send_replace(batch.up_to);
        leadership.plan.notify_one();
        if let Some((id, part)) = &part {
            self.settled = id.number + 1;
            part.records.iter().for_each(|record| log_record(leadership, record, committed.revision));
        }
    }
}

/// Writes one part of the log. Returns `None` if this host no longer leads.
async fn write(leadership: Arc<Leadership>, batch: Batch) -> Option<(Batch, Committed)> {
    if batch.write_leader_record && !replace_lease(&leadership).await {
        leadership.write_leader_record.store(true, Ordering::Release);
    }
    let (lease, lease_requested_at) = leadership.record_lease_request();
    let batch = Batch { lease, lease_requested_at, ..batch };
    let committed = commit_batch(&leadership, &batch).await?;
    leadership.confirm(committed.sent);
    Some((batch, committed))
}

/// Sends a transaction until its outcome is known. Returns `None` if this host no longer leads.
async fn commit_batch(leadership: &Arc<Leadership>, batch: &Batch) -> Option<Committed> {
    let started_at = leadership.host.started.elapsed();
    let usual = leadership.write_latency.lock().timeout(MIN_RESEND_TIMEOUT, MAX_FIRST_TIMEOUT);
    let mut timeout = usual;
    let mut resend_at = Instant::now() + usual;
    let mut tries = FuturesUnordered::new();
    // Whether a try that has failed may have been committed.
    let mut maybe_written = false;
    let mut rejections = 0;
    tries.push(attempt(leadership, transaction(leadership, batch)?, None));
    loop {
        let error = tokio::select! {
            Some((sent, outcome)) = tries.next() => match outcome {
                Ok(CommitOutcome::Done(revision)) => {
                    leadership.write_latency.lock().observe(leadership.host.started.elapsed() - sent);
                    return Some(Committed { revision, sent });
                }
                Ok(CommitOutcome::Conflict(_)) => {
                    leadership.step_down("another host has changed the term counter");
                    leadership.host.leadership_ended(leadership.term);
                    return None;
                }
                // Only the leader's record is attached to a lease; it is written again separately.
                Ok(CommitOutcome::NoLease) => {
                    leadership.write_leader_record.store(true, Ordering::Release);
                    let without_record = Batch { write_leader_record: false, ..batch.clone() };
                    return Box::pin(commit_batch(leadership, &without_record)).await;
                }
                Err(error) => {
                    maybe_written |= !matches!(error, ServiceError::NotDone(_) | ServiceError::Rejected(_));
                    if let ServiceError::Rejected(fault) = &error {
                        rejections += 1;
                        report_rejection(leadership, batch, fault, rejections);
                    }
                    if rejections >= MAX_REJECTIONS {
                        leadership.step_down("the store rejects a part of the log");
                        leadership.host.leadership_ended(leadership.term);
                        return None;
                    }
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
                "no response yet".to_owned()
            }
        };
        if leadership.unanswered_since.lock().replace(started_at).is_none() {
            emit!(leadership.host.log, events::WRITE_UNCONFIRMED, "fault" => error,
                "after_ms" => usual.as_millis() as u64);
        }
    }
}

/// Logs that the store rejected a transaction, with the size of its part.
fn report_rejection(leadership: &Leadership, batch: &Batch, fault: &str, rejections: u32) {
    leadership.host.metrics.rejected_parts.inc();
    let size = batch.part.and_then(|id| leadership.pending_parts.records_size(id.number));
    emit!(leadership.host.log, events::LOG_PART_REJECTED, "key" => batch.part.map(part_key), "fault" => fault,
        "records_bytes" => size, "rejections" => rejections, "term" => leadership.term);
}

/// Sends a transaction once. Returns when it was sent, and its outcome. With `give_up_after`, it is abandoned that
/// long after the store has answered another call.
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

/// Waits for a repeated transaction, but only for `usual` once the store answers other calls. Requests sent during an
/// outage of the store get no response, and waiting for them would keep callers refused for longer than the outage
/// lasts.
async fn give_up_when_store_answers(
    leadership: &Leadership,
    sent: Duration,
    usual: Duration,
    committed: impl Future<Output = Result<CommitOutcome, ServiceError>>,
) -> Result<CommitOutcome, ServiceError> {
    let answered = async {
        leadership.wait_for_store_answer(sent).await;
        tokio::time::sleep(usual).await;
    };
    tokio::select! {
        outcome = committed => outcome,
        () = answered => Err(ServiceError::Unknown("no response, although the store answers other calls".to_owned())),
    }
}

/// Encodes the transaction in its current form. Returns `None` if that fails, which ends the leadership.
fn transaction(leadership: &Leadership, batch: &Batch) -> Option<Transaction> {
    match encode(leadership, batch) {
        Ok(transaction) => Some(transaction),
        Err(error) => {
            emit!(leadership.host.log, events::RECORD_UNREADABLE, "key" => TERM_KEY, "fault" => error.to_string());
            leadership.step_down("a part of the log cannot be encoded");
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
    if batch.write_last_leader {
        puts.push(last_leader_put(&claim.leader, &claim.predecessors)?);
    }
    Ok(Transaction {
        expected: vec![(TERM_KEY.to_owned(), claim.revision)],
        puts,
        removes: batch.removed.iter().map(|id| part_key(*id)).collect(),
    })
}

/// Creates a new lease for the leader's record. Returns whether the store granted one.
async fn replace_lease(leadership: &Leadership) -> bool {
    let requested_at = leadership.host.started.elapsed();
    match leadership.host.services.store.grant_lease(leadership.host.settings.lease_ttl).await {
        Ok(lease) => {
            let mut claim = leadership.claim.lock();
            claim.lease = lease;
            claim.lease_requested_at = requested_at;
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
            let share = leadership.engine.lock().share(*id).map(Class::name);
            if let Some(share) = share {
                leadership.host.metrics.record_accepted(workspace.as_deref(), share);
            }
            emit!(log, events::JOB_ACCEPTED, "job" => format_job_id(*id),
                "queue" => queue, "workspace" => workspace, "steps" => job.steps.len(),
                "tasks" => job.steps.iter().map(|step| step.count).sum::<u32>(),
                "largest" => job.steps.iter().map(|step| step.need)
                    .fold(Resources::ZERO, |most, need| most.max(&need)).to_string(),
                "share" => share, "revision" => revision, "term" => leadership.term)
        }
        Record::Ended { id, outcome, .. } => {
            let summary = leadership.engine.lock().summary(*id).unwrap_or_default();
            let took = summary.took;
            leadership.host.metrics.job_seconds.observe(took.as_secs_f64());
            emit!(log, events::JOB_ENDED, "job" => format_job_id(*id), "outcome" => format!("{outcome:?}"),
                "queue" => summary.queue, "took_ms" => took.as_millis() as u64,
                "objective_ms" => summary.objective.as_millis() as u64, "revision" => revision,
                "term" => leadership.term);
        }
        Record::Worker { id, address } => emit!(log, events::WORKER_RECORDED, "worker" => id, "address" => address),
        // Starts are logged when they are sent, run ends when workers report them, lost workers and crashes when they
        // are detected.
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
