//! Accepts callers' jobs: a job counts once its record is written, and is taken back where that takes too long.

use std::time::Duration;

use events::emit;
use tokio::time::Instant;
use work::{Job, JobId, QueueName};

use crate::access::Scope;
use crate::message::Answer;
use crate::reign::Leadership;

/// A job whose record isn't written after this time is refused, if that is still possible: longer than a slow store takes.
const WRITE_PATIENCE: Duration = Duration::from_millis(700);
/// Once a transaction has been without an outcome for so long, new jobs are refused at once.
const STORE_AWAY: Duration = Duration::from_millis(700);
/// Callers are told to come back after this time when the store doesn't answer: a check that is to be done in a second or two is of
/// no use later.
const STORE_RETRY: Duration = Duration::from_secs(1);
/// A caller whose job has this much time comes back after twice as long: with four more tries it outlasts outages of 4 to 7 s, which
/// tries a second apart don't, and the checks find the store less pressed when it is back.
const PATIENT_OBJECTIVE: Duration = Duration::from_secs(5);
/// Whether a job whose record the store refuses can be taken back is looked at this often.
const WITHDRAW_PAUSE: Duration = Duration::from_millis(10);

/// What became of a job that wasn't written in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// It is written after all.
    Kept,
    /// It surely isn't, and won't be.
    TakenBack,
    /// It may be.
    Unknown,
}

/// When a caller is to come back whose job should be done within `objective`.
fn retry_after(objective: Duration) -> Duration {
    if objective < PATIENT_OBJECTIVE { STORE_RETRY } else { STORE_RETRY * 2 }
}

impl Leadership {
    /// Why a job isn't taken, whatever the store says: another workspace has its id, or it can never run.
    fn unacceptable(&self, scope: &Scope, id: JobId, job: &Job) -> Option<Answer> {
        let mut engine = self.engine.lock();
        if engine.keeps(id) {
            return (!scope.shows(engine.workspace(id))).then_some(Answer::IdTaken);
        }
        let Scope::Only(Some(workspace)) = scope else { return None };
        let excess = engine.excess(workspace, job)?;
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::job_name(id), "why" => excess.to_string(),
            "workspace" => workspace, "config" => self.host.config().version, "term" => self.term);
        Some(Answer::Excessive(excess))
    }

    /// Whether the store has not answered for so long that it is taken for away.
    fn store_away(&self) -> bool {
        let since = *self.unsettled.lock();
        since.is_some_and(|since| self.host.started.elapsed().saturating_sub(since) > STORE_AWAY)
    }

    fn refuse(&self, id: JobId, objective: Duration) -> Answer {
        let after = retry_after(objective);
        emit!(self.host.log, events::JOB_REFUSED, "job" => work::job_name(id), "why" => "the store is away",
            "retry_after_ms" => after.as_millis() as u64, "term" => self.term);
        Answer::Refused(after)
    }

    /// Accepts a job and waits until it is kept; takes it back when the store is too slow for that.
    pub(super) async fn submit(&self, scope: Scope, queue: QueueName, id: JobId, job: Job, wait: Duration) -> Answer {
        if let Some(refusal) = self.unacceptable(&scope, id, &job) {
            return refusal;
        }
        let objective = self.engine.lock().objective(&queue, &job);
        if self.store_away() && !self.engine.lock().keeps(id) {
            return self.refuse(id, objective);
        }
        let owner = scope.owner(queue);
        let position = self.engine.lock().accept(self.host.clock(), id, owner, job);
        self.write.notify_one();
        self.plan.notify_one();
        // The answer must reach the caller's host before that gives up.
        let patience = WRITE_PATIENCE.min(wait / 2);
        if !self.wait_durable(position, patience).await {
            let taken_back = self.take_back(id, position, wait.saturating_sub(patience)).await;
            match (taken_back, self.is_over()) {
                (Outcome::Kept, _) => {}
                // The next leader may take it.
                (Outcome::TakenBack, true) => return Answer::NotLeader,
                (Outcome::TakenBack, false) => return self.refuse(id, objective),
                (Outcome::Unknown, _) => return Answer::Unknown,
            }
        }
        // Another caller of the same id may have given up and taken it back.
        match self.engine.lock().keeps(id) {
            true => Answer::Accepted,
            false => Answer::Refused(retry_after(objective)),
        }
    }

    /// Takes a job back that isn't written yet as soon as that is possible, or waits until it is written after all.
    async fn take_back(&self, id: JobId, position: u64, wait: Duration) -> Outcome {
        let until = Instant::now() + wait;
        loop {
            if self.withdraw(id) {
                return Outcome::TakenBack;
            }
            let left = until.saturating_duration_since(Instant::now());
            if self.wait_durable(position, WITHDRAW_PAUSE.min(left)).await {
                return Outcome::Kept;
            }
            if left.is_zero() || self.is_over() {
                return if self.withdraw(id) { Outcome::TakenBack } else { Outcome::Unknown };
            }
        }
    }

    /// Takes a job back that surely isn't written. Whether it could.
    fn withdraw(&self, id: JobId) -> bool {
        let mut engine = self.engine.lock();
        if engine.withdraw(id) {
            return true;
        }
        let withdrawn = self.flights.withdraw(id);
        if withdrawn {
            engine.retract(id);
        }
        withdrawn
    }
}
