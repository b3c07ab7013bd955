//! Whether a workload is to blame for its failures: it is, when it fails on different workers and succeeds on
//! none. Then it pauses longer and longer, and is parked in the end with the reason.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use model::{Reason, WorkerId};

/// Failures in a row, on different workers, after which a workload is parked.
pub const PARK_AFTER: u32 = 6;
/// Different workers that must have failed it, unless there are fewer.
const DIFFERENT: usize = 3;
const FIRST_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(300);
/// A worker that just failed a workload gets no task of it for so long.
const AVOID: Duration = Duration::from_secs(120);

/// Whether a workload may be tried.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
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
    workers: BTreeSet<WorkerId>,
    avoid: Vec<(WorkerId, Instant)>,
    /// Pauses so far.
    pauses: u32,
    not_before: Option<Instant>,
    last: String,
    parked: bool,
}

impl Failures {
    /// Notes a success: the workload can run.
    pub fn succeeded(&mut self) {
        self.count = 0;
        self.workers.clear();
        self.pauses = 0;
        self.not_before = None;
        self.parked = false;
    }

    /// Notes a failure. One on a worker that is on probation counts against the worker alone. `workers` is the
    /// number of workers that there are. Tells whether the workload is parked by it.
    pub fn failed(&mut self, worker: &str, message: &str, on_probation: bool, workers: usize, now: Instant) -> bool {
        self.avoid.retain(|(_, until)| *until > now);
        self.avoid.push((worker.to_owned(), now + AVOID));
        if on_probation {
            return false;
        }
        self.count += 1;
        self.workers.insert(worker.to_owned());
        self.last = message.to_owned();
        self.pause(now);
        let enough = self.workers.len() >= DIFFERENT.min(workers.max(1));
        let parks = enough && self.count >= PARK_AFTER && !self.parked;
        self.parked |= parks;
        parks
    }

    /// Notes that a worker went on which a task had just begun. Workers that go during a pause went with another, as a rack does, and say
    /// nothing more.
    pub(crate) fn worker_lost(&mut self, worker: &str, workers: usize, now: Instant) -> bool {
        if self.not_before.is_some_and(|until| until > now) {
            return false;
        }
        self.failed(worker, "its worker went down", false, workers, now)
    }

    /// Pauses, twice as long as the last time. Failures during a pause are of tasks that ran at once and say nothing more: on a worker that
    /// fails everything a few of them would make the longest pause.
    fn pause(&mut self, now: Instant) {
        if self.not_before.is_some_and(|until| until > now) {
            return;
        }
        self.not_before = Some(now + (FIRST_PAUSE * 2u32.pow(self.pauses.min(16))).min(LONGEST_PAUSE));
        self.pauses += 1;
    }

    /// Whether the workload may be tried now.
    pub fn verdict(&self, now: Instant) -> Verdict {
        if self.parked {
            let workers = self.workers.len() as u32;
            return Verdict::Parked(Reason::Parked { failures: self.count, workers, last: self.last.clone() });
        }
        match self.not_before {
            Some(until) if until > now => Verdict::Pause(Reason::BackOff { failures: self.count, wait: until - now }),
            _ => Verdict::Ready,
        }
    }

    /// Workers that failed the workload lately.
    pub fn avoided(&self, now: Instant) -> impl Iterator<Item = &WorkerId> + '_ {
        self.avoid.iter().filter(move |(_, until)| *until > now).map(|(worker, _)| worker)
    }
}
