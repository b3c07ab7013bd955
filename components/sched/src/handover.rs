//! Transfers runs from one incarnation of a worker to the next one of the same name.
//!
//! An order names the worker, not its incarnation, and no answer tells which incarnation carried it out. A run that
//! the worker hasn't listed, or that an earlier leader ordered, may therefore have been started by the next
//! incarnation. Its task waits until that incarnation has answered, and a run that this leader ordered is stopped
//! there first. Nothing else is transferred: neither leases and clock readings nor end numbers, tickets, failures and
//! pauses.
//!
//! The same holds for the renewals: the deadline of a lease is a time on the clock of the intended incarnation. The clock
//! of the next one begins anew, so that it takes the deadline for a distant one and cuts the lease to the longest that
//! workers accept. The log tells the next leader which workers follow an earlier incarnation: their records come with
//! the end of that one, for as long as such a lease may last.

use std::time::Duration;

use work::{Attempt, Record, Task, WorkerId, WorkerIncarnation};

use crate::engine::{Action, Clock, Engine};
use crate::entry;
use crate::worker::{Contact, Phase, Run, Worker};

/// A run that may have been ordered and that its worker hasn't listed.
pub(crate) struct UnsettledRun {
    task: Task,
    attempt: Attempt,
    run: Run,
    /// Whether its task is held by this run.
    held: bool,
}

impl Engine {
    /// Runs whose start orders may still be on their way to a worker.
    pub(crate) fn unsettled_runs(&self, id: &str) -> Vec<UnsettledRun> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let unlisted = worker.runs.iter().filter(|(_, run)| !run.listed);
        let unsettled = |((task, attempt), run): (&(Task, Attempt), &Run)| UnsettledRun {
            task: *task,
            attempt: *attempt,
            run: run.clone(),
            held: self.holds(*task, id, *attempt),
        };
        unlisted.filter(|((task, attempt), _)| !self.is_unsent(id, *task, *attempt)).map(unsettled).collect()
    }

    /// Whether a start was decided and hasn't been sent yet.
    pub(crate) fn is_unsent(&self, id: &str, task: Task, attempt: Attempt) -> bool {
        let same = |(_, to, start): &(u64, WorkerId, crate::engine::Start)| {
            to == id && start.task == task && start.attempt == attempt
        };
        self.unsent_starts.iter().any(same)
    }

    /// Whether a task is held by this run.
    fn holds(&self, task: Task, id: &str, attempt: Attempt) -> bool {
        let state = self.unit(task.unit).and_then(|unit| unit.tasks.get(task.index as usize));
        state.is_some_and(|state| state.phase == entry::Phase::Held(id.to_owned(), attempt))
    }

    /// Transfers the unsettled runs of an earlier incarnation to the next one, which may carry out their orders.
    pub(crate) fn hand_over(&mut self, clock: Clock, id: &str, next: &str, unsettled_runs: Vec<UnsettledRun>) {
        for UnsettledRun { task, attempt, run, held } in unsettled_runs {
            let Some(worker) = self.workers.get_mut(next) else { return };
            worker.add_run(task, attempt, Run { phase: Phase::Stopping, ..run });
            if held {
                self.set_placed(task, next, attempt);
            }
        }
        self.note_follower(clock.now, next);
        self.stop_handed_over(next);
        self.hand_over_inherited(id, next);
    }

    /// Whether a worker follows an earlier incarnation of the same name. A lease meant for that one may have been
    /// granted to this one by its own clock, with the longest duration that workers accept.
    pub fn follows_earlier_incarnation(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.follows_since.is_some())
    }

    /// Records that a worker follows an earlier incarnation of the same name, as far as is known since `now`.
    pub(crate) fn note_follower(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.follows_since = Some(now);
        }
    }

    /// An ended incarnation of the same name as this worker's.
    pub(crate) fn departed_incarnation(&self, id: &str) -> Option<&WorkerId> {
        let name = WorkerIncarnation::from_id(id).name;
        let first = WorkerIncarnation { name, born: Some(0) }.id();
        let born = self.departed.range(first..);
        let same_name = born.take_while(|other| WorkerIncarnation::from_id(other).name == name);
        same_name.chain(self.departed.get(name)).find(|other| other.as_str() != id)
    }

    /// Records that keep the knowledge that a worker follows an earlier incarnation: the end of that one.
    pub(crate) fn former_incarnation_record(&self, id: &str) -> Option<Record> {
        let worker = self.workers.get(id)?;
        let needed = worker.may_hold_former_lease(self.pass_time, self.limits.former_lapse_time());
        needed.then(|| self.departed_incarnation(id)).flatten().map(|former| Record::Gone { id: former.clone() })
    }

    /// Orders a worker to stop the runs that were transferred to it, once it has answered. No orders can be sent
    /// before that.
    pub(crate) fn stop_handed_over(&mut self, id: &str) {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.contact == Contact::Held) else { return };
        let stopping = worker.runs.iter().filter(|(_, run)| run.phase == Phase::Stopping);
        let stops = stopping.map(|((task, attempt), _)| Action::Stop(id.to_owned(), *task, *attempt));
        self.actions.extend(stops.collect::<Vec<_>>());
    }

    /// Frees the runs that were transferred to incarnations which never answered, once a lease that they may have
    /// accepted has certainly expired. All orders were sent before the end of the earlier incarnation was known.
    pub(crate) fn free_handed_over(&mut self, clock: Clock) {
        let longest = self.limits.max_lease_lapse_time();
        let lapsed = |worker: &Worker| {
            let silent = worker.contact == Contact::Unknown && !worker.runs.is_empty();
            silent && clock.now.saturating_sub(worker.last_heard) > longest
        };
        let ids: Vec<WorkerId> =
            self.workers.iter().filter(|(_, worker)| lapsed(worker)).map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.free_all_runs(clock, id));
    }

    /// Transfers the runs that earlier leaders ordered, unless all of them have certainly ended. Their orders are
    /// refused once the next incarnation has answered in this term.
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

    /// Records that a run of a task is, or may be, on this worker.
    fn set_placed(&mut self, task: Task, id: &str, attempt: Attempt) {
        if let Some(unit) = self.unit_mut(task.unit) {
            unit.set_phase(task.index as usize, entry::Phase::Held(id.to_owned(), attempt));
        }
        self.record(Record::Placed { task, attempt, worker: id.to_owned() });
    }

    /// Changes the id of a worker whose time of birth has become known from the platform's list. As far as is known
    /// it is the same incarnation.
    pub(crate) fn rename(&mut self, clock: Clock, id: &str, new_id: &str) {
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
        self.record_worker(clock, new_id.to_owned(), (*info).clone());
        self.free_all_runs(clock, id);
        self.workers.remove(id);
        for (task, attempt, run) in listed {
            if let Some(worker) = self.workers.get_mut(new_id) {
                worker.add_run(task, attempt, run);
            }
            self.set_placed(task, new_id, attempt);
        }
        self.hand_over(clock, id, new_id, unsettled_runs);
        if let Some(worker) = self.workers.get_mut(new_id) {
            worker.possibly_lost = left;
        }
        self.departed.insert(id.to_owned());
        self.record(Record::Gone { id: id.to_owned() });
        self.actions.push(Action::Forget(id.to_owned()));
    }
}
