//! Handles the outcomes of orders to workers.

use work::{Attempt, Task};

use crate::engine::{Action, Clock, Engine};
use crate::entry::Placement;
use crate::worker::Phase;

/// Outcome of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run has started.
    Started,
    /// The worker refused the order without starting anything.
    Refused,
    /// The worker considered the ticket expired.
    Ticket,
    /// The worker is unhealthy and has started nothing.
    Unhealthy,
    /// There was no answer: the run may start now or later.
    Unknown,
}

impl Outcome {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Started => "started",
            Outcome::Refused => "refused",
            Outcome::Ticket => "ticket",
            Outcome::Unhealthy => "unhealthy",
            Outcome::Unknown => "unknown",
        }
    }
}

impl Engine {
    /// Processes the outcome of a start order.
    pub fn start_answered(&mut self, clock: Clock, id: &str, task: Task, attempt: Attempt, outcome: Outcome) {
        match outcome {
            Outcome::Started => self.confirmed(clock, id, task, attempt),
            Outcome::Unknown => {
                self.unanswered(clock, id);
                self.stop_run(id, task, attempt);
                // The other members of its gang would wait for it in vain.
                if self.step(task).is_some_and(|step| step.gang) {
                    self.stop_unit(task.unit);
                }
            }
            Outcome::Refused => self.release(clock, id, task, attempt),
            Outcome::Ticket => {
                self.drop_ticket(task.unit, id);
                self.release(clock, id, task, attempt);
            }
            Outcome::Unhealthy => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.avoid(clock.now, 0);
                }
                self.release(clock, id, task, attempt);
            }
        }
    }

    /// Avoids a worker after an unanswered start, with exponential backoff.
    fn unanswered(&mut self, clock: Clock, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.avoid(clock.now, worker.unanswered);
        worker.unanswered += 1;
    }

    /// Processes the worker's confirmation of a start.
    fn confirmed(&mut self, clock: Clock, id: &str, task: Task, attempt: Attempt) {
        let mark = self.next_mark();
        self.count_start();
        self.mark_started(clock, task);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.unanswered = 0;
        if let Some(run) = worker.runs.get_mut(&(task, attempt))
            && run.phase == Phase::Starting
        {
            run.phase = Phase::Running(mark);
            run.started_at.get_or_insert(clock.now);
            let decided = run.progressed_at;
            self.start_latency.observe(clock.now.saturating_sub(decided));
        }
    }

    /// Orders a stop, unless one is under way.
    pub(crate) fn stop_run(&mut self, id: &str, task: Task, attempt: Attempt) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&(task, attempt)) else { return };
        if matches!(run.phase, Phase::Stopping | Phase::Stopped(_)) {
            return;
        }
        run.phase = Phase::Stopping;
        self.actions.push(Action::Stop(id.to_owned(), task, attempt));
    }

    pub(crate) fn stop_runs(&mut self, placements: Vec<Placement>) {
        for Placement { worker, task, attempt } in placements {
            self.stop_run(&worker, task, attempt);
        }
    }

    /// Processes the worker's confirmation of a stop: the run ends soon, or never starts.
    pub fn stop_accepted(&mut self, id: &str, task: Task, attempt: Attempt) {
        let mark = self.next_mark();
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(run) = worker.runs.get_mut(&(task, attempt)) {
            run.phase = Phase::Stopped(mark);
        }
    }

    /// Removes a run that has certainly ended or never started.
    pub(crate) fn release(&mut self, clock: Clock, id: &str, task: Task, attempt: Attempt) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.remove_run(task, attempt);
        self.free_task(clock, task, id, attempt);
    }
}
