//! Accepts callers' jobs: a job is accepted once its record is written, and withdrawn if that takes too long.

use std::time::Duration;

use events::emit;
use tokio::time::Instant;
use work::{Job, JobId, QueueName, Record};

use crate::access::Scope;
use crate::leadership::{Leadership, parts};
use crate::message::Answer;

/// A job whose record isn't written within this time is refused, if it can still be withdrawn. Longer than a slow
/// store takes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);
/// New jobs are refused at once when a transaction has been without an outcome for this long.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(700);
/// When callers should retry if the store doesn't answer. Jobs such as checks that must finish within a second or two
/// would be of no use later.
const SHORT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Callers whose jobs have at least this much time retry after twice as long. With four more tries they outlast
/// outages of 4 to 7 s, which tries at intervals of a second don't, and short jobs find the store less loaded when it
/// is back.
const LONG_OBJECTIVE: Duration = Duration::from_secs(5);
/// How often to check whether a job whose record the store refuses can be withdrawn.
const WITHDRAW_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Outcome for a job whose record wasn't written in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WithdrawOutcome {
    /// The record was written after all.
    Written,
    /// The record isn't written and won't be.
    Withdrawn,
    /// The record may have been written.
    Unknown,
}

/// When a caller should retry whose job should finish within `objective`.
fn retry_after(objective: Duration) -> Duration {
    if objective < LONG_OBJECTIVE { SHORT_RETRY_AFTER } else { SHORT_RETRY_AFTER * 2 }
}

impl Leadership {
    /// Reasons to reject a job whatever the state of the store: another workspace has a job with this id, or the job
    /// can never be recorded or run.
    fn rejection(&self, scope: &Scope, queue: &str, id: JobId, job: &Job) -> Option<Answer> {
        let mut engine = self.engine.lock();
        if engine.has_job(id) {
            return (!scope.allows(engine.workspace(id))).then_some(Answer::IdTaken);
        }
        let workspace = scope.workspace();
        let size = Record::max_accepted_size(queue, workspace.map(String::as_str), job);
        let limit = parts::max_records_size(self.host.settings.max_value);
        if size > limit {
            emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id), "why" => "the job is too large",
                "bytes" => size, "limit" => limit, "term" => self.term);
            return Some(Answer::TooLarge { size, limit });
        }
        let (size, limit) = (sched::job_memory(job), self.host.job_memory_limit());
        if size > limit {
            emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id),
                "why" => "the job takes more memory than there is for jobs", "bytes" => size, "limit" => limit,
                "term" => self.term);
            return Some(Answer::TooLarge { size, limit });
        }
        let workspace = workspace?;
        let excess = engine.excess(workspace, job)?;
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id), "why" => excess.to_string(),
            "workspace" => workspace, "config" => self.host.config().version, "term" => self.term);
        Some(Answer::Excessive(excess))
    }

    /// Whether the store hasn't answered for so long that it is considered unavailable.
    fn store_unavailable(&self) -> bool {
        let since = *self.unanswered_since.lock();
        since.is_some_and(|since| self.host.started.elapsed().saturating_sub(since) > STORE_UNAVAILABLE_AFTER)
    }

    fn refuse(&self, id: JobId, objective: Duration) -> Answer {
        let after = retry_after(objective);
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id), "why" => "the store is unavailable",
            "retry_after_ms" => after.as_millis() as u64, "term" => self.term);
        Answer::Refused(after)
    }

    /// Memory of all jobs that this leader knows, and of the log, in bytes.
    pub(crate) fn memory(&self) -> usize {
        let log = parts::memory(self) + self.pending_parts.memory();
        self.engine.lock().memory() + log
    }

    /// Refuses a job for which there is no memory. A job that is known to the scheduler is never refused.
    fn memory_refusal(&self, id: JobId, job: &Job, objective: Duration) -> Option<Answer> {
        let (used, limit) = (self.memory(), self.host.job_memory_limit());
        // The record of the job is in the log as well.
        let size = sched::job_memory(job) + job.memory();
        if used.saturating_add(size) <= limit || self.engine.lock().has_job(id) {
            return None;
        }
        let after = retry_after(objective);
        self.host.metrics.jobs_without_memory.inc();
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id),
            "why" => "the memory for jobs is used up", "bytes" => size, "used_bytes" => used, "limit" => limit,
            "retry_after_ms" => after.as_millis() as u64, "term" => self.term);
        Some(Answer::Refused(after))
    }

    /// Accepts a job and waits until it is durable. Withdraws it if the store is too slow.
    pub(super) async fn submit(&self, scope: Scope, queue: QueueName, id: JobId, job: Job, wait: Duration) -> Answer {
        if let Some(refusal) = self.rejection(&scope, &queue, id, &job) {
            return refusal;
        }
        let objective = self.engine.lock().objective(&queue, &job);
        if self.store_unavailable() && !self.engine.lock().has_job(id) {
            return self.refuse(id, objective);
        }
        if let Some(refusal) = self.memory_refusal(id, &job, objective) {
            return refusal;
        }
        let owner = scope.owner(queue);
        if let Some(refusal) = self.overload_refusal(id, &owner, &job) {
            return refusal;
        }
        let position = self.engine.lock().accept(self.host.clock(), id, owner, job);
        self.write.notify_one();
        self.plan.notify_one();
        // Leaves time for the response to reach the caller's host before that host gives up.
        let timeout = WRITE_TIMEOUT.min(wait / 2);
        if !self.wait_durable(position, timeout).await {
            let outcome = self.withdraw_or_wait(id, position, wait.saturating_sub(timeout)).await;
            match (outcome, self.has_ended()) {
                (WithdrawOutcome::Written, _) => {}
                // The next leader may accept it.
                (WithdrawOutcome::Withdrawn, true) => return Answer::NotLeader,
                (WithdrawOutcome::Withdrawn, false) => return self.refuse(id, objective),
                (WithdrawOutcome::Unknown, _) => return Answer::Unknown,
            }
        }
        // Another caller with the same id may have given up and withdrawn the job.
        match self.engine.lock().has_job(id) {
            true => Answer::Accepted,
            false => Answer::Refused(retry_after(objective)),
        }
    }

    /// Withdraws a job that isn't written as soon as possible, or waits until it is written after all.
    async fn withdraw_or_wait(&self, id: JobId, position: u64, wait: Duration) -> WithdrawOutcome {
        let until = Instant::now() + wait;
        loop {
            if self.withdraw(id) {
                return WithdrawOutcome::Withdrawn;
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if self.wait_durable(position, WITHDRAW_POLL_INTERVAL.min(remaining)).await {
                return WithdrawOutcome::Written;
            }
            if remaining.is_zero() || self.has_ended() {
                return if self.withdraw(id) { WithdrawOutcome::Withdrawn } else { WithdrawOutcome::Unknown };
            }
        }
    }

    /// Withdraws a job that is certainly not written. Returns whether that was possible.
    fn withdraw(&self, id: JobId) -> bool {
        let mut engine = self.engine.lock();
        if engine.withdraw(id) {
            return true;
        }
        let withdrawn = self.pending_parts.withdraw(id);
        if withdrawn {
            engine.retract(id);
        }
        withdrawn
    }
}
