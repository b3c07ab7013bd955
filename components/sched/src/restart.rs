//! Workers that have started again under their id.
//!
//! A worker lists what runs there and, until that is acknowledged, what has ended. A run that had begun and is in neither list went with
//! the life that ran it. Nothing else need show that: the worker may be back before its leases have run out.

use std::collections::BTreeSet;
use std::time::Duration;

use work::{Attempt, Task};

use crate::ends::must_show;
use crate::engine::{Clock, Engine};
use crate::loss::{Ended, Lost, Passing};
use crate::worker::{Report, Worker};

impl Engine {
    /// Looks whether a worker, last heard at this time, has started again: that is the end of a worker like any other.
    pub(crate) fn look_for_restart(&mut self, clock: Clock, id: &str, heard: Duration, report: &Report) {
        let Some(worker) = self.workers.get(id) else { return };
        let vanished = worker.vanished(report);
        if vanished.is_empty() {
            return;
        }
        let went = |lost: &Lost| vanished.contains(&(lost.task, lost.attempt));
        let runs: Vec<Lost> = self.losses(id, heard).into_iter().filter(went).collect();
        let mut ended = self.restart(clock, id, heard, runs);
        let spent = self.hold_against(&mut ended);
        self.ended_workers.push(ended);
        self.give_up(clock, spent);
    }

    /// Notes runs that were there when the worker's leases ran out, and that it neither lists nor has ended.
    pub(crate) fn note_forgotten(&mut self, clock: Clock, id: &str, heard: Duration, left: Vec<Lost>, report: &Report) {
        let listed = report.listed();
        let went = |lost: &Lost| lost.begun && !listed.contains(&(lost.task, lost.attempt));
        let runs: Vec<Lost> = left.into_iter().filter(went).collect();
        if !runs.is_empty() {
            let ended = self.restart(clock, id, heard, runs);
            self.ended_workers.push(ended);
        }
    }

    /// The end of a worker's life with these runs, though its id goes on.
    fn restart(&self, clock: Clock, id: &str, heard: Duration, runs: Vec<Lost>) -> Ended {
        let draining = self.workers.get(id).is_some_and(|worker| worker.info.draining);
        let silent = clock.now.saturating_sub(heard);
        Ended { worker: id.to_owned(), passing: Passing::Restarted, silent, draining, runs }
    }
}

impl Worker {
    /// Runs that had begun, must show in this report, and are neither running nor ended there.
    fn vanished(&self, report: &Report) -> BTreeSet<(Task, Attempt)> {
        let begun = self.runs.iter().filter(|(_, run)| run.begun.is_some() && must_show(run.phase, report.mark));
        let keys: BTreeSet<(Task, Attempt)> = begun.map(|(key, _)| *key).collect();
        &keys - &report.listed()
    }
}
