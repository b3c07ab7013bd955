//! Detects workers that have restarted under the same id.
//!
//! A worker reports its running runs and, until they are acknowledged, its ended ones. A run that had started and is
//! in neither list was lost with an earlier incarnation of the worker. Nothing else may reveal the restart, since the
//! worker can be back before its leases expire. A truncated list of ends proves nothing about the runs that it lacks.

use std::collections::BTreeSet;
use std::time::Duration;

use work::{Attempt, Task};

use crate::engine::{Clock, Engine};
use crate::lost_runs::{EndedWorker, LostRun, WorkerEndReason};
use crate::reports::must_show;
use crate::worker::{Report, Run, Worker};

impl Engine {
    /// Checks whether a worker has restarted since `last_heard`, and if so, records that as a worker's end. `left`
    /// holds the runs that were there when its leases expired: each is either reported as ended or was lost with an
    /// earlier incarnation. `gone` holds the runs that the report proves to have gone.
    pub(crate) fn look_for_restart(
        &mut self,
        clock: Clock,
        id: &str,
        last_heard: Duration,
        left: Vec<LostRun>,
        gone: &BTreeSet<(Task, Attempt)>,
        report: &Report,
    ) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let draining = worker.info.draining;
        let started = |key: &&(Task, Attempt)| worker.runs.get(key).is_some_and(|run| run.started_at.is_some());
        let vanished: BTreeSet<(Task, Attempt)> = gone.iter().filter(started).copied().collect();
        let listed = if left.is_empty() { BTreeSet::new() } else { report.listed() };
        let mut runs: Vec<LostRun> =
            left.into_iter().filter(|lost| lost.started && !listed.contains(&lost.key())).collect();
        if vanished.is_empty() && runs.is_empty() && !worker.has_repeated_end_number(report) {
            return false;
        }
        runs.extend(self.losses(id, last_heard).into_iter().filter(|lost| vanished.contains(&lost.key())));
        let silent = clock.now.saturating_sub(last_heard);
        let mut ended = EndedWorker {
            worker: id.to_owned(),
            reason: WorkerEndReason::Restarted,
            silent,
            draining,
            runs,
            reported: Some(report.ends()),
            next: None,
        };
        let exhausted = self.attribute_end(&mut ended);
        self.ended_workers.push(ended);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.reset_for_new_incarnation();
        }
        self.fail_jobs(clock, exhausted);
        true
    }

    /// Number of runs that a worker's report must reflect and that are in neither of its lists.
    pub fn unreported_runs(&self, id: &str, report: &Report) -> usize {
        self.workers.get(id).map_or(0, |worker| worker.unreported(report).len())
    }
}

impl Worker {
    /// Runs that a report proves to have gone without an end: it must reflect them and lacks them. A run that a truncated
    /// report lacks may be listed as ended by the next one.
    pub(crate) fn gone(&self, report: &Report) -> BTreeSet<(Task, Attempt)> {
        match report.truncated {
            true => BTreeSet::new(),
            false => self.unreported(report),
        }
    }

    /// Takes the possibly lost runs whose fate a report tells: those that it lists, and all others if its list of ends is
    /// complete.
    pub(crate) fn take_settled(&mut self, report: &Report) -> Vec<LostRun> {
        let left = std::mem::take(&mut self.possibly_lost);
        if !report.truncated || left.is_empty() {
            return left;
        }
        let listed = report.listed();
        let (settled, open) = left.into_iter().partition(|lost| listed.contains(&lost.key()));
        self.possibly_lost = open;
        settled
    }

    /// Runs that a report must reflect and that are in neither of its lists.
    pub(crate) fn unreported(&self, report: &Report) -> BTreeSet<(Task, Attempt)> {
        if self.runs.is_empty() {
            return BTreeSet::new();
        }
        let listed = report.listed();
        let is_unreported =
            |(key, run): &(&(Task, Attempt), &Run)| must_show(run.phase, report.mark) && !listed.contains(*key);
        self.runs.iter().filter(is_unreported).map(|(key, _)| *key).collect()
    }

    /// Whether a run that is still held is reported as ended under a number that was already processed. Within one
    /// incarnation the numbers only rise.
    fn has_repeated_end_number(&self, report: &Report) -> bool {
        report.ended.iter().any(|end| end.number <= self.taken && self.runs.contains_key(&(end.task, end.attempt)))
    }

    /// Resets what holds only for one incarnation: the numbers of ends, failures and unanswered starts.
    fn reset_for_new_incarnation(&mut self) {
        self.taken = 0;
        self.acked = 0;
        self.pending.clear();
        self.failures = 0;
        self.unanswered = 0;
        self.avoid_until = Duration::ZERO;
    }
}
