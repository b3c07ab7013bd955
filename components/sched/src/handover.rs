//! What passes from one life of a worker to the next one under its name.
//!
//! An order names the worker and not its life, and no answer to it tells which life has carried it out: that of a run that wasn't listed, or
//! that an earlier leader sent, may have been the next one. Its task waits until that life has answered; what this leader sent is stopped
//! there first. Nothing else passes on: neither leases and clock, nor the numbers of ends, tickets, failures and pauses.

use work::{Attempt, Record, Task, WorkerId};

use crate::engine::{Action, Clock, Engine};
use crate::entry;
use crate::worker::{Contact, Phase, Run, Worker};

/// A run that may have been ordered, and that its worker hasn't listed.
pub(crate) struct Unsettled {
    task: Task,
    attempt: Attempt,
    run: Run,
    /// Whether its task waits for it.
    held: bool,
}

impl Engine {
    /// Runs whose orders may still be on their way to a worker.
    pub(crate) fn unsettled_runs(&self, id: &str) -> Vec<Unsettled> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let unlisted = worker.runs.iter().filter(|(_, run)| !run.listed);
        let unsettled_runs = |((task, attempt), run): (&(Task, Attempt), &Run)| Unsettled {
            task: *task,
            attempt: *attempt,
            run: run.clone(),
            held: self.holds(*task, id, *attempt),
        };
        unlisted.filter(|((task, attempt), _)| !self.is_unsent(id, *task, *attempt)).map(unsettled_runs).collect()
    }

    /// Whether a start was decided and not given out yet.
    pub(crate) fn is_unsent(&self, id: &str, task: Task, attempt: Attempt) -> bool {
        let same = |(_, to, start): &(u64, WorkerId, crate::engine::Start)| {
            to == id && start.task == task && start.attempt == attempt
        };
        self.unsent_starts.iter().any(same)
    }

    /// Whether a task's run is this one.
    fn holds(&self, task: Task, id: &str, attempt: Attempt) -> bool {
        let state = self.unit(task.unit).and_then(|unit| unit.tasks.get(task.index as usize));
        state.is_some_and(|state| state.phase == entry::Phase::Held(id.to_owned(), attempt))
    }

    /// Hands over to the next life what it may carry out of the orders for a former one.
    pub(crate) fn hand_over(&mut self, id: &str, next: &str, unsettled_runs: Vec<Unsettled>) {
        for Unsettled { task, attempt, run, held } in unsettled_runs {
            let Some(worker) = self.workers.get_mut(next) else { return };
            worker.add_run(task, attempt, Run { phase: Phase::Stopping, ..run });
            if held {
                self.set_placed(task, next, attempt);
            }
        }
        if let Some(worker) = self.workers.get_mut(next) {
            worker.follows_earlier_incarnation = true;
        }
        self.stop_handed_over(next);
        self.hand_over_inherited(id, next);
    }

    /// Whether a worker's life follows another under its name. A lease that was meant for that one may have been given there, by the next
    /// life's clock: as long as workers take any.
    pub fn follows_earlier_incarnation(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.follows_earlier_incarnation)
    }

    /// Stops at a worker what was handed over to it, once it has answered: before that no order can be given.
    pub(crate) fn stop_handed_over(&mut self, id: &str) {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.contact == Contact::Held) else { return };
        let stopping = worker.runs.iter().filter(|(_, run)| run.phase == Phase::Stopping);
        let stops = stopping.map(|((task, attempt), _)| Action::Stop(id.to_owned(), *task, *attempt));
        self.actions.extend(stops.collect::<Vec<_>>());
    }

    /// Frees what was handed over to lives that have never answered, once a lease that one of them may have taken has surely run out. An order
    /// was sent before the former life's end was known.
    pub(crate) fn free_handed_over(&mut self, clock: Clock) {
        let longest = self.limits.longest_lease();
        let over = |worker: &Worker| {
            let silent = worker.contact == Contact::Unknown && !worker.runs.is_empty();
            silent && clock.now.saturating_sub(worker.last_heard) > longest
        };
        let ids: Vec<WorkerId> =
            self.workers.iter().filter(|(_, worker)| over(worker)).map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.free_all_runs(clock, id));
    }

    /// Hands over what an earlier leader ordered: its orders are refused once the next life has answered under this term. Nothing once all of
    /// them have surely ended.
    fn hand_over_inherited(&mut self, id: &str, next: &str) {
        let inherited = if self.settled { Vec::new() } else { self.inherited_runs() };
        for (task, entry::Inherited { attempt, .. }) in inherited.into_iter().filter(|(_, run)| run.worker == id) {
            if let Some(state) = self.task_mut(task) {
                state.inherited = Some(entry::Inherited { worker: next.to_owned(), attempt });
            }
            self.record(Record::Placed { task, attempt, worker: next.to_owned() });
        }
        self.quota.hand_over(id, next);
    }

    /// A task's run is, or may be, on this worker.
    fn set_placed(&mut self, task: Task, id: &str, attempt: Attempt) {
        if let Some(unit) = self.unit_mut(task.unit) {
            unit.set_phase(task.index as usize, entry::Phase::Held(id.to_owned(), attempt));
        }
        self.record(Record::Placed { task, attempt, worker: id.to_owned() });
    }

    /// The platform tells when a worker was born that was known without: it is the same life as far as is known, and goes by its id from
    /// now on.
    pub(crate) fn rename(&mut self, clock: Clock, id: &str, born: &str) {
        let unsettled_runs = self.unsettled_runs(id);
        let Some(worker) = self.workers.get(id) else { return };
        let listed: Vec<(Task, Attempt, Run)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.listed)
            .map(|((task, attempt), run)| (*task, *attempt, run.clone()))
            .filter(|(task, attempt, _)| self.holds(*task, id, *attempt))
            .collect();
        let (info, left) = (worker.info.clone(), worker.possibly_lost.clone());
        self.record_worker(clock, born.to_owned(), (*info).clone());
        self.free_all_runs(clock, id);
        self.workers.remove(id);
        for (task, attempt, run) in listed {
            if let Some(worker) = self.workers.get_mut(born) {
                worker.add_run(task, attempt, run);
            }
            self.set_placed(task, born, attempt);
        }
        self.hand_over(id, born, unsettled_runs);
        if let Some(worker) = self.workers.get_mut(born) {
            worker.possibly_lost = left;
        }
        self.departed.insert(id.to_owned());
        self.record(Record::Gone { id: id.to_owned() });
        self.actions.push(Action::Forget(id.to_owned()));
    }
}
