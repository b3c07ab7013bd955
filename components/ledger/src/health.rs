//! Detects workers on which tasks fail for reasons that are not the tasks' own.
//!
//! A worker is put on probation when tasks of several distinct workloads fail on it and none succeeds in between. On
//! probation it gets one trial task at a time, after delays that double with each failure. A success ends the
//! probation.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use model::WorkloadId;

/// Number of recent failures that are remembered.
const FAILURE_WINDOW: usize = 8;
/// Number of distinct workloads among the remembered failures that starts a probation.
const MIN_DISTINCT_WORKLOADS: usize = 3;
const INITIAL_TRIAL_DELAY: Duration = Duration::from_secs(10);
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Probation {
    next_trial: Instant,
    delay: Duration,
}

/// The failures on one worker since its last success, and its probation.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    failures: VecDeque<WorkloadId>,
    probation: Option<Probation>,
}

impl WorkerHealth {
    /// Records a task that completed successfully. Returns whether this ends a probation.
    pub fn record_success(&mut self) -> bool {
        self.failures.clear();
        self.probation.take().is_some()
    }

    /// Records a failure. Returns whether this starts a probation.
    pub fn record_failure(&mut self, workload: &str, now: Instant) -> bool {
        if let Some(probation) = &mut self.probation {
            probation.delay = (probation.delay * 2).min(MAX_TRIAL_DELAY);
            probation.next_trial = now + probation.delay;
            return false;
        }
        self.failures.push_back(workload.to_owned());
        if self.failures.len() > FAILURE_WINDOW {
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

    /// Whether the worker may get a task at `now`. `trial_running` means that a trial task is running.
    pub fn accepts_task(&self, trial_running: bool, now: Instant) -> bool {
        match &self.probation {
            None => true,
            Some(probation) => !trial_running && now >= probation.next_trial,
        }
    }
}
