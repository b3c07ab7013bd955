//! Whether a workload is to blame for its failures: it is, when it fails on different workers and succeeds on
//! none. Then it pauses longer and longer, and is parked in the end with the reason.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Reason, WorkerId};

/// Failures in a row, on different workers, after which a workload is parked.
pub const PARK_AFTER: u32 = 6;
/// Different workers that must have failed it, unless there are fewer.
const MIN_DISTINCT_WORKERS: usize = 3;
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// A worker that just failed a workload gets no task of it for so long.
const AVOID_WORKER_FOR: Duration = Duration::from_secs(120);

/// Whether a workload may be tried.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryState {
    /// Try it.
    Ready,
    /// Not before the pause is over.
    Pause(Reason),
    /// Not until an operator changes it.
    Parked(Reason),
}

/// The failures of one workload since its last success.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    count: u32,
    failed_on: BTreeSet<WorkerId>,
    avoided: Vec<(WorkerId, Instant)>,
    /// Pauses so far.
    backoff_count: u32,
    not_before: Option<Instant>,
    last_message: String,
    parked: bool,
}

impl Failures {
    /// Notes a success: the workload can run.
    pub fn record_success(&mut self) {
        self.count = 0;
        self.failed_on.clear();
        self.backoff_count = 0;
        self.not_before = None;
        self.parked = false;
    }

    /// Notes a failure. One on a worker that is on probation counts against the worker alone. `workers` is the
    /// number of workers that there are. Tells whether the workload is parked by it.
    pub fn record_failure(
        &mut self,
        worker: &str,
        message: &str,
        on_probation: bool,
        worker_count: usize,
        now: Instant,
    ) -> bool {
        self.avoided.retain(|(_, until)| *until > now);
        self.avoided.push((worker.to_owned(), now + AVOID_WORKER_FOR));
        if on_probation {
            return false;
        }
        self.count += 1;
        self.failed_on.insert(worker.to_owned());
        self.last_message = message.to_owned();
        self.start_backoff(now);
        let enough = self.failed_on.len() >= MIN_DISTINCT_WORKERS.min(worker_count.max(1));
        let park_now = enough && self.count >= PARK_AFTER && !self.parked;
        self.parked |= park_now;
        park_now
    }

    /// Notes that a worker went on which a task had just begun. Workers that go during a pause went with another, as a rack does, and say
    /// nothing more.
    pub(crate) fn record_worker_loss(&mut self, worker: &str, worker_count: usize, now: Instant) -> bool {
        if self.not_before.is_some_and(|until| until > now) {
            return false;
        }
        self.record_failure(worker, "its worker went down", false, worker_count, now)
    }

    /// Pauses, twice as long as the last time. Failures during a pause are of tasks that ran at once and say nothing more: on a worker that
    /// fails everything a few of them would make the longest pause.
    fn start_backoff(&mut self, now: Instant) {
        if self.not_before.is_some_and(|until| until > now) {
            return;
        }
        self.not_before = Some(now + (INITIAL_BACKOFF * 2u32.pow(self.backoff_count.min(16))).min(MAX_BACKOFF));
        self.backoff_count += 1;
    }

    /// Whether the workload may be tried now.
    pub fn retry_state(&self, now: Instant) -> RetryState {
        if self.parked {
            let workers = self.failed_on.len() as u32;
            return RetryState::Parked(Reason::Parked {
                failures: self.count,
                workers,
                last: self.last_message.clone(),
            });
        }
        match self.not_before {
            Some(until) if until > now => {
                RetryState::Pause(Reason::BackOff { failures: self.count, wait: until - now })
            }
            _ => RetryState::Ready,
        }
    }

    /// Workers that failed the workload lately.
    pub fn avoided_workers(&self, now: Instant) -> impl Iterator<Item = &WorkerId> + '_ {
        self.avoided.iter().filter(move |(_, until)| *until > now).map(|(worker, _)| worker)
    }
}
