//! Whether a worker is to blame for failures: it is, when tasks of *distinct* workloads fail on it and none
//! succeeds. Then it is on probation and gets one trial task at a time, less and less often.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use model::WorkloadId;

/// Ends that are remembered.
const WINDOW: usize = 8;
/// Different workloads that must have failed in the window.
const MIN_DISTINCT_WORKLOADS: usize = 3;
const INITIAL_TRIAL_DELAY: Duration = Duration::from_secs(10);
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Probation {
    next_trial: Instant,
    delay: Duration,
}

/// The judgement on one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    failures: VecDeque<WorkloadId>,
    probation: Option<Probation>,
}

impl WorkerHealth {
    /// Notes a task that ran to its end. Tells whether this ended a probation.
    pub fn record_success(&mut self) -> bool {
        self.failures.clear();
        self.probation.take().is_some()
    }

    /// Notes a failure. Tells whether a probation begins.
    pub fn record_failure(&mut self, workload: &str, now: Instant) -> bool {
        if let Some(probation) = &mut self.probation {
            probation.delay = (probation.delay * 2).min(MAX_TRIAL_DELAY);
            probation.next_trial = now + probation.delay;
            return false;
        }
        self.failures.push_back(workload.to_owned());
        if self.failures.len() > WINDOW {
            self.failures.pop_front();
        }
        let distinct: BTreeSet<&WorkloadId> = self.failures.iter().collect();
        if distinct.len() < MIN_DISTINCT_WORKLOADS {
            return false;
        }
        self.probation = Some(Probation { next_trial: now + INITIAL_TRIAL_DELAY, delay: INITIAL_TRIAL_DELAY });
        true
    }

    /// Whether the worker is on probation.
    pub fn on_probation(&self) -> bool {
        self.probation.is_some()
    }

    /// Whether it may get a task now; `trial_running` when it has one that was started during the probation.
    pub fn accepts_task(&self, trial_running: bool, now: Instant) -> bool {
        match &self.probation {
            None => true,
            Some(probation) => !trial_running && now >= probation.next_trial,
        }
    }
}
