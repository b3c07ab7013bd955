//! Accepts callers' jobs: a job counts once its record is written, and is taken back where that takes too long.

use std::time::Duration;

use events::emit;
use tokio::time::Instant;
use work::{Job, JobId, QueueName};

use crate::access::Scope;
use crate::leadership::Leadership;
use crate::message::Answer;

/// A job whose record isn't written after this time is refused, if that is still possible: longer than a slow store takes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(700);
/// Once a transaction has been without an outcome for so long, new jobs are refused at once.
const STORE_UNAVAILABLE_AFTER: Duration = Duration::from_millis(700);
/// Callers are told to come back after this time when the store doesn't answer: a check that is to be done in a second or two is of
/// no use later.
const SHORT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A caller whose job has this much time comes back after twice as long: with four more tries it outlasts outages of 4 to 7 s, which
/// tries a second apart don't, and the checks find the store less pressed when it is back.
const LONG_OBJECTIVE: Duration = Duration::from_secs(5);
/// Whether a job whose record the store refuses can be taken back is looked at this often.
const WITHDRAW_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What became of a job that wasn't written in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WithdrawOutcome {
    /// It is written after all.
    Written,
    /// It surely isn't, and won't be.
    Withdrawn,
    /// It may be.
    Unknown,
}

/// When a caller is to come back whose job should be done within `objective`.
fn retry_after(objective: Duration) -> Duration {
    if objective < LONG_OBJECTIVE { SHORT_RETRY_AFTER } else { SHORT_RETRY_AFTER * 2 }
}

impl Leadership {
    /// Why a job isn't taken, whatever the store says: another workspace has its id, or it can never run.
    fn rejection(&self, scope: &Scope, id: JobId, job: &Job) -> Option<Answer> {
        let mut engine = self.engine.lock();
        if engine.keeps(id) {
            return (!scope.allows(engine.workspace(id))).then_some(Answer::IdTaken);
        }
        let Scope::Only(Some(workspace)) = scope else { return None };
        let excess = engine.excess(workspace, job)?;
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id), "why" => excess.to_string(),
            "workspace" => workspace, "config" => self.host.config().version, "term" => self.term);
        Some(Answer::Excessive(excess))
    }

    /// Whether the store has not answered for so long that it is taken for away.
    fn store_unavailable(&self) -> bool {
        let since = *self.unanswered_since.lock();
        since.is_some_and(|since| self.host.started.elapsed().saturating_sub(since) > STORE_UNAVAILABLE_AFTER)
    }

    fn refuse(&self, id: JobId, objective: Duration) -> Answer {
        let after = retry_after(objective);
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::format_job_id(id), "why" => "the store is away",
            "retry_after_ms" => after.as_millis() as u64, "term" => self.term);
        Answer::Refused(after)
    }

    /// Accepts a job and waits until it is kept; takes it back when the store is too slow for that.
    pub(super) async fn submit(&self, scope: Scope, queue: QueueName, id: JobId, job: Job, wait: Duration) -> Answer {
        if let Some(refusal) = self.rejection(&scope, id, &job) {
            return refusal;
        }
        let objective = self.engine.lock().objective(&queue, &job);
        if self.store_unavailable() && !self.engine.lock().keeps(id) {
            return self.refuse(id, objective);
        }
        let owner = scope.owner(queue);
        let position = self.engine.lock().accept(self.host.clock(), id, owner, job);
        self.write.notify_one();
        self.plan.notify_one();
        // The answer must reach the caller's host before that gives up.
        let timeout = WRITE_TIMEOUT.min(wait / 2);
        if !self.wait_durable(position, timeout).await {
            let outcome = self.withdraw_or_wait(id, position, wait.saturating_sub(timeout)).await;
            match (outcome, self.has_ended()) {
                (WithdrawOutcome::Written, _) => {}
                // The next leader may take it.
                (WithdrawOutcome::Withdrawn, true) => return Answer::NotLeader,
                (WithdrawOutcome::Withdrawn, false) => return self.refuse(id, objective),
                (WithdrawOutcome::Unknown, _) => return Answer::Unknown,
            }
        }
        // Another caller of the same id may have given up and taken it back.
        match self.engine.lock().keeps(id) {
            true => Answer::Accepted,
            false => Answer::Refused(retry_after(objective)),
        }
    }

    /// Takes a job back that isn't written yet as soon as that is possible, or waits until it is written after all.
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

    /// Takes a job back that surely isn't written. Whether it could.
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
