//! Processes the reports of workers: adopts unknown runs, handles ended ones and releases those that have
//! disappeared.

use model::Resources;
use work::{Attempt, JobId, Outcome, Record, Step, Task, Unit};

use crate::engine::{Clock, Engine};
use crate::entry::{self, Placement, StartState};
use crate::quota::Charge;
use crate::worker::{Contact, End, MAX_CONSECUTIVE_FAILURES, Phase, Report, Run, RunOutcome, Running};

impl Engine {
    /// Processes a worker's answer to a renewal in this term. Returns whether it shows that the worker has restarted.
    pub fn report(&mut self, clock: Clock, id: &str, report: Report) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        let last_heard = std::mem::replace(&mut worker.last_heard, clock.now);
        let first = std::mem::replace(&mut worker.contact, Contact::Held) == Contact::Unknown;
        worker.has_complete_report |= !report.truncated;
        let left = worker.take_settled(&report);
        let gone = worker.gone(&report);
        self.remove_silent(&left);
        let restarted = self.look_for_restart(clock, id, last_heard, left, &gone, &report);
        if first {
            self.stop_handed_over(id);
        }
        let taken = self.last_processed_end(id);
        for end in report.ended.iter().filter(|end| end.number > taken) {
            self.ended(clock, id, end);
        }
        for running in &report.running {
            self.running(clock, id, running);
        }
        gone.into_iter().for_each(|(task, attempt)| self.release(clock, id, task, attempt));
        restarted
    }

    /// Processes the end of a run. It may be acknowledged once the records that result from it are durable.
    fn ended(&mut self, clock: Clock, id: &str, end: &End) {
        self.mark_started(clock, end.task);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.taken = end.number;
        }
        if !end.checkpoint.is_empty() {
            self.save_checkpoint(end.task, &end.checkpoint);
        }
        match end.outcome {
            RunOutcome::Done => self.done(clock, id, end.task, end.attempt),
            RunOutcome::Failed => self.failed(clock, id, end.task, end.attempt),
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {}
        }
        self.release(clock, id, end.task, end.attempt);
        let position = self.position();
        if let Some(worker) = self.workers.get_mut(id) {
            worker.pending.push_back((end.number, position));
        }
        let durable = self.durable;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.acknowledge(durable);
        }
    }

    /// Records that a task of the job has started.
    pub(crate) fn mark_started(&mut self, clock: Clock, task: Task) {
        self.count_first_start(clock, task.unit.job);
        if let Some(entry) = self.jobs.get_mut(&task.unit.job) {
            entry.started = StartState::Yes;
        }
    }

    /// Stores the last checkpoint of a task, and of its gang if it belongs to one.
    fn save_checkpoint(&mut self, task: Task, checkpoint: &str) {
        let gang = self.step(task).is_some_and(|step| step.gang);
        let Some(unit) = self.unit_mut(task.unit) else { return };
        if gang {
            unit.checkpoint = checkpoint.to_owned();
        }
        if let Some(state) = unit.tasks.get_mut(task.index as usize) {
            state.checkpoint = checkpoint.to_owned();
        }
    }

    pub(crate) fn step(&self, task: Task) -> Option<&Step> {
        self.jobs.get(&task.unit.job)?.step(task.unit.step)
    }

    /// Completes a task. The first member that completes its task completes the whole gang; a long-running task is
    /// never done.
    fn done(&mut self, clock: Clock, id: &str, task: Task, attempt: Attempt) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.failures = 0;
        }
        let Some(step) = self.step(task) else { return };
        if step.long_running {
            return;
        }
        let gang = step.gang;
        let Some(unit) = self.unit_mut(task.unit) else { return };
        let Some(state) = unit.tasks.get(task.index as usize) else { return };
        if state.phase == entry::Phase::Done {
            return;
        }
        let mut elsewhere = Vec::new();
        let finished = unit.done;
        for index in unit.done_with(task.index, gang) {
            // Another run of the task, perhaps on the same worker, is no longer needed.
            if let entry::Phase::Held(worker, other) = &unit.tasks[index].phase
                && (*other != attempt || (!gang && worker != id))
            {
                let task = Task { unit: task.unit, index: index as u32 };
                elsewhere.push(Placement { worker: worker.clone(), task, attempt: *other });
            }
            unit.set_phase(index, entry::Phase::Done);
        }
        let finished = unit.done - finished;
        self.count_completed(task, finished);
        self.record(Record::Done { task });
        self.stop_runs(elsewhere);
        self.complete_if_done(clock, task.unit.job);
    }

    /// Ends a job if all of its tasks are done.
    pub(crate) fn complete_if_done(&mut self, clock: Clock, id: JobId) {
        let complete = self.jobs.get(&id).is_some_and(|entry| entry.outcome.is_none() && entry.is_complete());
        if complete {
            self.end(clock, id, Outcome::Completed);
        }
    }

    /// Counts a failed run once, and fails the job when its attempts are used up.
    fn failed(&mut self, clock: Clock, id: &str, task: Task, attempt: Attempt) {
        self.count_failure(clock, id);
        let Some(entry) = self.jobs.get(&task.unit.job) else { return };
        let Some(step) = entry.step(task.unit.step) else { return };
        let (gang, long_running, ended) = (step.gang, step.long_running, entry.outcome.is_some());
        let most = self.queues.get(&entry.queue).map_or(u32::MAX, |queue| queue.max_attempts);
        let Some(unit) = self.unit_mut(task.unit) else { return };
        let Some(state) = unit.tasks.get(task.index as usize) else { return };
        if long_running || ended || state.phase == entry::Phase::Done {
            return;
        }
        let Some(failed) = unit.failures_mut(task.index, gang) else { return };
        if failed.contains(&attempt) {
            return;
        }
        failed.push(attempt);
        let exhausted = failed.len() >= most as usize;
        self.record(Record::Failed { task, attempt });
        if exhausted {
            self.fail_jobs(clock, [task.unit.job]);
        }
    }

    /// Counts a failure of a worker, which is avoided after several in a row.
    fn count_failure(&mut self, clock: Clock, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.failures += 1;
        if worker.failures >= MAX_CONSECUTIVE_FAILURES {
            worker.avoid(clock.now, worker.failures - MAX_CONSECUTIVE_FAILURES);
        }
    }

    /// Processes a run that a worker lists, whether it is known or not.
    fn running(&mut self, clock: Clock, id: &str, row: &Running) {
        self.mark_started(clock, row.task);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let tried = worker.suspects;
        let Some(run) = worker.mark_listed(clock.now, row.task, row.attempt) else { return self.adopt(clock, id, row) };
        if run.percent != row.percent {
            run.percent = row.percent;
            run.progressed_at = clock.now;
        }
        if worker.suspects < tried
            && let Some(state) = self.task_mut(row.task)
        {
            state.mark_survived();
        }
        if !row.checkpoint.is_empty() {
            self.save_checkpoint(row.task, &row.checkpoint);
        }
    }

    /// Adopts a run that another leader started, or stops it if its task isn't pending.
    fn adopt(&mut self, clock: Clock, id: &str, row: &Running) {
        // A run of an ended job may use any amount of room: nothing else is placed on the worker until it has ended.
        let free = self.workers.get(id).map_or(Resources::ZERO, |worker| worker.free);
        let need = self.step(row.task).map_or(free, taken_room);
        let wanted = self.jobs.get(&row.task.unit.job).is_some_and(|entry| entry.outcome.is_none())
            && self
                .unit(row.task.unit)
                .and_then(|unit| unit.tasks.get(row.task.index as usize))
                .is_some_and(|task| task.phase == entry::Phase::Pending);
        let mark = self.next_mark();
        let charge = self.charge(row.task, need);
        let preemptible = self.step(row.task).and_then(|step| self.preemption_priority(row.task.unit, step));
        let Some(worker) = self.workers.get_mut(id) else { return };
        let run = Run {
            phase: Phase::Running(mark),
            need,
            charge,
            preemptible,
            percent: row.percent,
            progressed_at: clock.now,
            decided_at: clock.now,
            started_at: Some(clock.now),
            listed: true,
            seen_running: true,
            suspect: false,
        };
        worker.add_run(row.task, row.attempt, run);
        if !wanted {
            self.stop_run(id, row.task, row.attempt);
            return;
        }
        let held = entry::Phase::Held(id.to_owned(), row.attempt);
        if let Some(unit) = self.unit_mut(row.task.unit) {
            unit.set_phase(row.task.index as usize, held);
        }
        if !row.checkpoint.is_empty() {
            self.save_checkpoint(row.task, &row.checkpoint);
        }
    }

    /// What a run counts against its workspace's limit; `need` if only the end of its job is known.
    fn charge(&self, task: Task, need: Resources) -> Option<Charge> {
        let entry = self.jobs.get(&task.unit.job)?;
        entry.charge(task.unit.step).or_else(|| Some(Charge { workspace: entry.workspace?, need }))
    }

    /// Stops the remaining members of gangs that lost a member, among jobs that changed and those known to have one.
    pub(crate) fn stop_broken_gangs(&mut self, changed: &[JobId]) {
        let mut broken = std::mem::take(&mut self.ranking.broken);
        broken.extend(changed);
        broken.retain(|id| self.live.contains(id) && self.stop_broken_gangs_of(*id));
        self.ranking.broken = broken;
    }

    /// Stops the remaining members of a job's gangs that lost one. Returns whether there is such a gang.
    fn stop_broken_gangs_of(&mut self, id: JobId) -> bool {
        let Some(entry) = self.jobs.get(&id) else { return false };
        let mut found = false;
        let mut stops = Vec::new();
        for ((round, step), unit) in &entry.units {
            let whole = unit.pending == 0 || unit.pending + unit.done == unit.count;
            if whole || !entry.step(*step).is_some_and(|step| step.gang) {
                continue;
            }
            found = true;
            if self.resolved(unit) {
                stops.extend(unit.placements(Unit { job: id, round: *round, step: *step }));
            }
        }
        self.stop_runs(stops);
        found
    }
}

/// Room that a task of a step takes on its worker.
pub(crate) fn taken_room(step: &Step) -> Resources {
    match step.best_effort_cpu {
        true => Resources { cpu_milli: 0, ..step.need },
        false => step.need,
    }
}

/// Whether a run in this phase is certain to be reflected in a report whose renewal was sent at `mark`.
pub(crate) fn must_show(phase: Phase, mark: u64) -> bool {
    match phase {
        Phase::Running(settled) | Phase::Stopped(settled) => settled <= mark,
        Phase::Starting | Phase::Stopping => false,
    }
}
