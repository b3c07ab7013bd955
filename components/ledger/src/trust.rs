//! Whether a worker is to blame for failures: it is, when tasks of *different* workloads fail on it and none
//! succeeds. Then it is on probation and gets one trial task at a time, less and less often.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use model::WorkloadId;

/// Ends that are remembered.
const WINDOW: usize = 8;
/// Different workloads that must have failed in the window.
const DIFFERENT: usize = 3;
const FIRST_PAUSE: Duration = Duration::from_secs(10);
const LONGEST_PAUSE: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Probation {
    next_trial: Instant,
    pause: Duration,
}

/// The judgement on one worker.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    failures: VecDeque<WorkloadId>,
    probation: Option<Probation>,
}

impl Trust {
    /// Notes a task that ran to its end. Tells whether this ended a probation.
    pub fn succeeded(&mut self) -> bool {
        self.failures.clear();
        self.probation.take().is_some()
    }

    /// Notes a failure. Tells whether a probation begins.
    pub fn failed(&mut self, workload: &str, now: Instant) -> bool {
        if let Some(probation) = &mut self.probation {
            probation.pause = (probation.pause * 2).min(LONGEST_PAUSE);
            probation.next_trial = now + probation.pause;
            return false;
        }
        self.failures.push_back(workload.to_owned());
        if self.failures.len() > WINDOW {
            self.failures.pop_front();
        }
        let different: BTreeSet<&WorkloadId> = self.failures.iter().collect();
        if different.len() < DIFFERENT {
            return false;
        }
        self.probation = Some(Probation { next_trial: now + FIRST_PAUSE, pause: FIRST_PAUSE });
        true
    }

    /// Whether the worker is on probation.
    pub fn on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Whether it may get a task now; `busy` when it has one that was started during the probation.
    pub fn open(&self, busy: bool, now: Instant) -> bool {
        match &self.probation {
            None => true,
            Some(probation) => !busy && now >= probation.next_trial,
        }
    }
}
