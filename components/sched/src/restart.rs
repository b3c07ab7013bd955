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
use crate::worker::{Report, Run, Worker};

impl Engine {
    /// Looks whether a worker, last heard at this time, has started again: that is the end of a worker like any other. `left` was there when
    /// its leases ran out: it shows as ended, or went with an earlier life, too.
    pub(crate) fn look_for_restart(
        &mut self,
        clock: Clock,
        id: &str,
        heard: Duration,
        left: Vec<Lost>,
        report: &Report,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let draining = worker.info.draining;
        let listed = report.listed();
        let vanished = worker.vanished(&listed, report.mark);
        let mut runs: Vec<Lost> = left.into_iter().filter(|lost| lost.begun && !listed.contains(&lost.key())).collect();
        if vanished.is_empty() && runs.is_empty() {
            return;
        }
        runs.extend(self.losses(id, heard).into_iter().filter(|lost| vanished.contains(&lost.key())));
        let silent = clock.now.saturating_sub(heard);
        let mut ended = Ended { worker: id.to_owned(), passing: Passing::Restarted, silent, draining, runs };
        let spent = self.hold_against(&mut ended);
        self.ended_workers.push(ended);
        self.give_up(clock, spent);
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
}
