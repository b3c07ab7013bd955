//! Exponential backoff and parking of workloads that fail repeatedly.
//!
//! Failures count against a workload until one of its attempts succeeds. Each series of failures delays the next
//! attempt. After [`PARK_AFTER`] failures on enough distinct workers the workload is parked, with a reason that
//! operators can read.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Reason, WorkerId};

/// Consecutive failures after which a workload is parked, provided that enough distinct workers took part.
pub const PARK_AFTER: u32 = 6;
/// Number of distinct workers on which a workload must have failed before it is parked, or all workers if the data
/// centre has fewer.
const MIN_DISTINCT_WORKERS: usize = 3;
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// How long a worker gets no further task of a workload that failed on it.
const AVOID_WORKER_FOR: Duration = Duration::from_secs(120);

/// Whether tasks of a workload may be started now.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryState {
    /// Tasks may be started.
    Ready,
    /// Tasks must wait until the backoff delay is over.
    Pause(Reason),
    /// Nothing is started until an operator changes the workload.
    Parked(Reason),
}

/// The failures of one workload since its last success.
#[derive(Clone, Debug, Default)]
pub struct Failures {
    failure_count: u32,
    failed_on: BTreeSet<WorkerId>,
    /// Workers to avoid, each with the time until which it is avoided.
    avoided: Vec<(WorkerId, Instant)>,
    backoff_count: u32,
    not_before: Option<Instant>,
    last_message: String,
    parked: bool,
}

impl Failures {
    /// Records a success, which clears the backoff and unparks the workload.
    pub fn record_success(&mut self) {
        self.failure_count = 0;
        self.failed_on.clear();
        self.backoff_count = 0;
        self.not_before = None;
        self.parked = false;
    }

    /// Records a failure and returns whether it parks the workload.
    ///
    /// A failure on a worker that is on probation is blamed on the worker and does not count against the workload.
    /// `worker_count` is the number of workers in the data centre.
    pub fn record_failure(
        &mut self,
        worker: &str,
        message: &str,
        on_probation: bool,
        worker_count: usize,
        now: Instant,
    ) -> bool {
        self.avoid(worker, now);
        if on_probation {
            return false;
        }
        self.failure_count += 1;
        self.failed_on.insert(worker.to_owned());
        self.last_message = message.to_owned();
        self.start_backoff(now);
        let enough_workers = self.failed_on.len() >= MIN_DISTINCT_WORKERS.min(worker_count.max(1));
        let park_now = enough_workers && self.failure_count >= PARK_AFTER && !self.parked;
        self.parked |= park_now;
        park_now
    }

    /// Records the loss of a worker on which a task had just started, and returns whether this parks the workload.
    ///
    /// Losses during a backoff delay are ignored: several workers lost together, such as a whole rack, count as one
    /// failure.
    pub(crate) fn record_worker_loss(&mut self, worker: &str, worker_count: usize, now: Instant) -> bool {
        if self.not_before.is_some_and(|until| until > now) {
            return false;
        }
        self.record_failure(worker, "its worker went down", false, worker_count, now)
    }

    /// Avoids a worker from now on. A worker is listed at most once, because callers compare the number of avoided
    /// workers with the number of all workers.
    fn avoid(&mut self, worker: &str, now: Instant) {
        self.avoided.retain(|(listed, until)| listed != worker && *until > now);
        self.avoided.push((worker.to_owned(), now + AVOID_WORKER_FOR));
    }

    /// Starts a backoff delay twice as long as the previous one, unless one is already running.
    ///
    /// Failures during a delay come from tasks that ran at the same time. Without this check a few tasks on one
    /// broken worker would raise the delay to its maximum.
    fn start_backoff(&mut self, now: Instant) {
        if self.not_before.is_some_and(|until| until > now) {
            return;
        }
        self.not_before = Some(now + (INITIAL_BACKOFF * 2u32.pow(self.backoff_count.min(16))).min(MAX_BACKOFF));
        self.backoff_count += 1;
    }

    /// Whether tasks of the workload may be started at `now`.
    pub fn retry_state(&self, now: Instant) -> RetryState {
        if self.parked {
            let workers = self.failed_on.len() as u32;
            return RetryState::Parked(Reason::Parked {
                failures: self.failure_count,
                workers,
                last: self.last_message.clone(),
            });
        }
        match self.not_before {
            Some(until) if until > now => {
                RetryState::Pause(Reason::BackOff { failures: self.failure_count, wait: until - now })
            }
            _ => RetryState::Ready,
        }
    }

    /// Workers that should get no task of the workload because it recently failed there, each of them once.
    pub fn avoided_workers(&self, now: Instant) -> impl Iterator<Item = &WorkerId> + '_ {
        self.avoided.iter().filter(move |(_, until)| *until > now).map(|(worker, _)| worker)
    }
}
