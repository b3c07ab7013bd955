//! Workers that have started again under their id.
//!
//! A worker lists what runs there and, until that is acknowledged, what has ended. A run that had begun and is in neither list went with
//! the life that ran it. Nothing else need show that: the worker may be back before its leases have run out.

use std::collections::BTreeSet;
use std::time::Duration;

use work::{Attempt, Task};

use crate::engine::{Clock, Engine};
use crate::lost_runs::{EndedWorker, LostRun, WorkerEndReason};
use crate::reports::must_show;
use crate::worker::{Report, Run, Worker};

impl Engine {
    /// Looks whether a worker, last heard at this time, has started again, and tells whether it has: that is the end of a worker like any
    /// other. `left` was there when its leases ran out: it shows as ended, or went with an earlier life, too.
    pub(crate) fn look_for_restart(
        &mut self,
        clock: Clock,
        id: &str,
        last_heard: Duration,
        left: Vec<LostRun>,
        report: &Report,
    ) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let draining = worker.info.draining;
        let listed = report.listed();
        let vanished = worker.vanished(&listed, report.mark);
        let mut runs: Vec<LostRun> =
            left.into_iter().filter(|lost| lost.begun && !listed.contains(&lost.key())).collect();
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
}

impl Worker {
    /// Runs that had begun, must show in a report of this mark, and aren't listed there.
    fn vanished(&self, listed: &BTreeSet<(Task, Attempt)>, mark: u64) -> BTreeSet<(Task, Attempt)> {
        let went = |(key, run): &(&(Task, Attempt), &Run)| {
            run.begun.is_some() && must_show(run.phase, mark) && !listed.contains(*key)
        };
        self.runs.iter().filter(went).map(|(key, _)| *key).collect()
    }

    /// Whether a run that is still held has ended under a number that was taken in before: in one life numbers only rise.
    fn has_repeated_end_number(&self, report: &Report) -> bool {
        report.ended.iter().any(|end| end.number <= self.taken && self.runs.contains_key(&(end.task, end.attempt)))
    }

    /// Forgets what doesn't hold for a next life: the numbers of its ends begin again, and it has neither failed nor left anything unanswered.
    fn reset_for_new_incarnation(&mut self) {
        self.taken = 0;
        self.acked = 0;
        self.pending.clear();
        self.failures = 0;
        self.unanswered = 0;
        self.avoid_until = Duration::ZERO;
    }
}
