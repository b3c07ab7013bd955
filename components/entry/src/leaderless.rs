//! Submissions while there is no leader, with overload protection.
//!
//! A queue that refused jobs by the last forecast goes on refusing them, at once. A job that was passed on to a leader
//! without learning the outcome may be recorded, so it is neither refused nor reported as refused.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use events::emit;
use parking_lot::Mutex;
use work::JobId;

use crate::host::Host;
use crate::message::{Answer, Call};

/// Callers send a job again within this time: five tries of 3 s each and the pauses between them.
const RETENTION: Duration = Duration::from_secs(60);
/// Upper bound on the jobs that are kept, to bound their memory.
const MAX_JOBS: usize = 10_000;

/// Jobs in doubt, with the time of their last submission.
#[derive(Default)]
pub(crate) struct InDoubt(Mutex<Jobs>);

#[derive(Default)]
struct Jobs {
    sent_at: HashMap<JobId, Duration>,
    order: VecDeque<(Duration, JobId)>,
}

impl InDoubt {
    /// Records that a job is about to be passed on.
    pub(crate) fn add(&self, now: Duration, job: JobId) {
        let mut jobs = self.0.lock();
        jobs.sent_at.insert(job, now);
        jobs.order.push_back((now, job));
        let outdated = |(at, _): &(Duration, JobId)| now.saturating_sub(*at) > RETENTION;
        while jobs.order.len() > MAX_JOBS || jobs.order.front().is_some_and(outdated) {
            let Some((at, oldest)) = jobs.order.pop_front() else { return };
            if jobs.sent_at.get(&oldest) == Some(&at) {
                jobs.sent_at.remove(&oldest);
            }
        }
    }

    /// Records that the outcome is known.
    pub(crate) fn remove(&self, job: JobId) {
        self.0.lock().sent_at.remove(&job);
    }

    pub(crate) fn contains(&self, now: Duration, job: JobId) -> bool {
        self.0.lock().sent_at.get(&job).is_some_and(|at| now.saturating_sub(*at) <= RETENTION)
    }
}

impl Host {
    /// Whether new jobs of a queue would be refused if there were no leader now.
    pub fn refuses_without_leader(&self, queue: &str) -> bool {
        self.settings.overload_protection && self.heartbeats.retry_after(self.started.elapsed(), queue).is_some()
    }

    /// Refuses a job while there is no leader, if the last forecast says that its queue can't take it.
    pub(crate) fn refuse_without_leader(&self, call: &Call) -> Option<Answer> {
        let Call::Submit { queue, id, .. } = call else { return None };
        if !self.settings.overload_protection || self.is_in_doubt(call) {
            return None;
        }
        let (after, age) = self.heartbeats.retry_after(self.started.elapsed(), queue)?;
        self.metrics.record_admission(queue, "refused_leaderless");
        emit!(self.log, events::JOB_REFUSED, "job" => work::format_job_id(*id), "why" => "there is no leader",
            "queue" => queue, "age_ms" => age.as_millis() as u64, "retry_after_ms" => after.as_millis() as u64);
        Some(Answer::Refused(after))
    }

    /// Records that a submission is about to be passed on. Returns whether it wasn't in doubt before.
    pub(crate) fn mark_in_doubt(&self, call: &Call) -> bool {
        let Call::Submit { id, .. } = call else { return false };
        let fresh = self.settings.overload_protection && !self.is_in_doubt(call);
        if self.settings.overload_protection {
            self.in_doubt.add(self.started.elapsed(), *id);
        }
        fresh
    }

    /// Whether a submission was passed on and its outcome isn't known.
    pub(crate) fn is_in_doubt(&self, call: &Call) -> bool {
        let Call::Submit { id, .. } = call else { return false };
        self.settings.overload_protection && self.in_doubt.contains(self.started.elapsed(), *id)
    }

    /// Records that the outcome of a submission is known.
    pub(crate) fn clear_doubt(&self, call: &Call) {
        if let (Call::Submit { id, .. }, true) = (call, self.settings.overload_protection) {
            self.in_doubt.remove(*id);
        }
    }
}

/// Whether an answer to a submission tells what became of the job.
pub(crate) fn is_outcome(answer: &Answer) -> bool {
    matches!(answer, Answer::Accepted | Answer::Refused(_) | Answer::Excessive(_) | Answer::IdTaken)
}
