//! Rebuilds the scheduler's state from the log, and rewrites the records of a job whose part of the log is about to
//! be removed.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use work::{Attempt, JobId, Outcome, Record, Task, Unit, WorkerId, WorkspaceName};

use crate::crashes::Crash;
use crate::engine::{Clock, Engine, Owner};
use crate::entry::{Accepted, Ended, Entry, Inherited, Phase, StartState, TaskState, UnitState};
use crate::lost_runs::LostRun;
use crate::quota::Charge;
use crate::worker::{Worker, WorkerInfo};

impl Engine {
    /// Replays a record that an earlier leader, or this one earlier in its term, has written.
    pub fn replay(&mut self, clock: Clock, record: Record) {
        match record {
            Record::Accepted { id, queue, workspace, at, job } => {
                if self.replay_job(clock, id, Owner { queue, workspace }, at, job) {
                    self.classify(id);
                }
            }
            Record::Rewritten(record) => self.replay_rewritten(clock, *record),
            Record::Placed { task, attempt, worker } => self.replay_placed(task, Inherited { worker, attempt }),
            Record::Done { task } => self.replay_done(task),
            Record::Failed { task, attempt } => self.replay_failed(task, attempt),
            Record::Ended { id, outcome, workspace } => self.replay_end(clock, id, outcome, workspace),
            Record::Crashed { task, worker, evidence } => {
                self.replay_crash(task, Crash { worker, attempt: 0, evidence });
            }
            Record::RunLost { task, attempt, worker, evidence } => {
                self.replay_crash(task, Crash { worker, attempt, evidence });
            }
            Record::Worker { id, address } => {
                let info = WorkerInfo { address, ..unlisted_info() };
                let worker = Worker::new(info, Some(clock.now), 0, clock.now);
                self.workers.entry(id.clone()).or_insert(worker);
                if self.departed_incarnation(&id).is_some() {
                    self.note_follower(clock.now, &id);
                }
            }
            Record::Gone { id } => {
                self.workers.remove(&id);
                if let Some(next) = self.latest_incarnation(&id) {
                    self.note_follower(clock.now, &next);
                }
                self.departed.insert(id);
            }
            Record::Leftover { task, attempt, worker, workspace, need } => {
                let workspace = self.quota.index(&workspace);
                self.quota.replay_run(task, attempt, &worker, Charge { workspace, need });
            }
        }
    }

    /// Replays a copy of an earlier record. Jobs of which the log has only such a copy are classified at the end of the
    /// replay: copies have old times.
    fn replay_rewritten(&mut self, clock: Clock, record: Record) {
        match record {
            Record::Accepted { id, queue, workspace, at, job } => {
                if self.replay_job(clock, id, Owner { queue, workspace }, at, job) {
                    self.classify_later(id);
                }
            }
            record => self.replay(clock, record),
        }
    }

    /// Ends the replay. Ends jobs whose tasks are all done, or whose attempts are used up, but whose end wasn't
    /// recorded.
    pub fn finish_replay(&mut self, clock: Clock) {
        self.classify_rewritten();
        self.fail_exhausted(clock);
        let ids: Vec<JobId> = self.live.iter().copied().collect();
        ids.into_iter().for_each(|id| self.complete_if_done(clock, id));
        self.quota.finish_replay();
        self.inherit_runs();
    }

    /// Makes the runs that earlier leaders ordered count as lost if their workers turn out to have ended. All
    /// placements are included, not only the last one of each task, since a task may have been on several workers
    /// that are still silent.
    fn inherit_runs(&mut self) {
        for (task, run) in self.inherited_runs().into_iter().chain(self.take_placed_before()) {
            let Some(worker) = self.workers.get_mut(&run.worker) else { continue };
            let lost = LostRun::inherited(task, run.attempt);
            worker.possibly_lost.push(lost.clone());
            self.add_silent(&[lost]);
        }
    }

    /// Takes the placements before the last one, except those whose runs have failed.
    fn take_placed_before(&mut self) -> Vec<(Task, Inherited)> {
        let mut found = Vec::new();
        for id in self.live.iter().copied() {
            let Some(entry) = self.jobs.get_mut(&id) else { continue };
            for ((round, step), unit) in &mut entry.units {
                let name = Unit { job: id, round: *round, step: *step };
                for (task, index) in unit.tasks.iter_mut().zip(0..) {
                    let settled =
                        |run: &Inherited| task.failed.contains(&run.attempt) || unit.failed.contains(&run.attempt);
                    let runs = std::mem::take(&mut task.placed_before).into_iter().filter(|run| !settled(run));
                    found.extend(runs.map(|run| (Task { unit: name, index }, run)));
                }
            }
        }
        found
    }

    /// Tasks of unfinished jobs that earlier leaders placed, each with its last run.
    pub(crate) fn inherited_runs(&self) -> Vec<(Task, Inherited)> {
        let mut found = Vec::new();
        for (job, entry) in self.live.iter().filter_map(|id| Some((*id, self.jobs.get(id)?))) {
            for ((round, step), unit) in &entry.units {
                let name = Unit { job, round: *round, step: *step };
                let tasks = unit.tasks.iter().zip(0..);
                found.extend(
                    tasks.filter_map(|(task, index)| Some((Task { unit: name, index }, task.inherited.clone()?))),
                );
            }
        }
        found
    }

    /// Fails the jobs that have used up their attempts.
    pub(crate) fn fail_exhausted(&mut self, clock: Clock) {
        let ids: Vec<JobId> = self.live.iter().copied().filter(|id| self.is_exhausted(*id)).collect();
        self.fail_jobs(clock, ids);
    }

    /// Whether a task or gang of a job has used up its attempts, or a task repeatedly crashes its workers.
    fn is_exhausted(&self, id: JobId) -> bool {
        let Some(entry) = self.jobs.get(&id) else { return false };
        let mut tasks = entry.units.values().flat_map(|unit| &unit.tasks);
        if tasks.any(|task| task.phase != Phase::Done && task.crashes_workers()) {
            return true;
        }
        let Some(queue) = self.queues.get(&entry.queue) else { return false };
        let most = queue.max_attempts as usize;
        let exhausted = |((_, step), unit): (&(u32, u16), &UnitState)| {
            let long_running = entry.step(*step).is_some_and(|step| step.long_running);
            let task_exhausted = |task: &TaskState| task.phase != Phase::Done && task.failed.len() >= most;
            let gang_exhausted = !unit.is_complete() && unit.failed.len() >= most;
            !long_running && (gang_exhausted || unit.tasks.iter().any(task_exhausted))
        };
        entry.units.iter().any(exhausted)
    }

    /// Adds a job from the log. Returns whether it was unknown.
    fn replay_job(&mut self, clock: Clock, id: JobId, owner: Owner, at: Duration, job: work::Job) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        // The age of a job counts from its acceptance, which may precede the start of this process.
        let age = clock.wall.saturating_sub(at);
        let accepted = Accepted { now: clock.now.saturating_sub(age), wall: at, position: 0 };
        self.insert(id, owner, Arc::new(job), accepted);
        if let Some(entry) = self.jobs.get_mut(&id)
            && entry.job.schedule.is_none()
        {
            entry.open(0);
        }
        true
    }

    /// The state of a unit that a record names. Its round has been opened, and its job has started or was about to.
    fn replay_unit(&mut self, unit: Unit, started: StartState) -> Option<&mut UnitState> {
        let entry = self.jobs.get_mut(&unit.job)?;
        while entry.opened <= unit.round && entry.opened < entry.job.rounds() {
            entry.open(entry.opened);
        }
        entry.started = started.max(entry.started);
        entry.units.get_mut(&(unit.round, unit.step))
    }

    fn replay_placed(&mut self, task: Task, run: Inherited) {
        if let Some(charge) = self.jobs.get(&task.unit.job).and_then(|entry| entry.charge(task.unit.step)) {
            self.quota.replay_run(task, run.attempt, &run.worker, charge);
        }
        let Some(unit) = self.replay_unit(task.unit, StartState::Placed) else { return };
        if let Some(state) = unit.tasks.get_mut(task.index as usize)
            && state.phase == Phase::Pending
        {
            let before = state.inherited.replace(run.clone()).filter(|before| *before != run);
            state.placed_before.extend(before);
        }
    }

    fn replay_done(&mut self, task: Task) {
        let gang = self.step(task).is_some_and(|step| step.gang);
        let Some(unit) = self.replay_unit(task.unit, StartState::Yes) else { return };
        let done = unit.done_with(task.index, gang);
        done.clone().for_each(|index| unit.set_phase(index, Phase::Done));
        done.for_each(|index| self.quota.replay_done(Task { index: index as u32, ..task }));
    }

    fn replay_failed(&mut self, task: Task, attempt: u64) {
        self.quota.replay_failed(task, attempt);
        let gang = self.step(task).is_some_and(|step| step.gang);
        let Some(unit) = self.replay_unit(task.unit, StartState::Yes) else { return };
        let Some(failed) = unit.failures_mut(task.index, gang) else { return };
        if !failed.contains(&attempt) {
            failed.push(attempt);
        }
    }

    fn replay_crash(&mut self, task: Task, crash: Crash) {
        let Some(unit) = self.replay_unit(task.unit, StartState::Yes) else { return };
        if let Some(state) = unit.tasks.get_mut(task.index as usize) {
            state.record_crash(crash);
        }
    }

    fn replay_end(&mut self, clock: Clock, id: JobId, outcome: Outcome, workspace: Option<WorkspaceName>) {
        if !self.jobs.contains_key(&id) {
            // The part of the log with the job was removed; callers may still ask how the job ended.
            let accepted = Accepted { now: clock.now, wall: clock.wall, position: 0 };
            let job = work::Job { specification: String::new(), steps: Vec::new(), schedule: None };
            self.insert(id, Owner { workspace, ..Owner::default() }, Arc::new(job), accepted);
        }
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.outcome = Some(Ended { outcome, position: 0, at: clock.now });
        entry.started = StartState::Yes;
        entry.release_memory();
        self.live.remove(&id);
    }

    /// Writes all records that must be kept of these jobs anew; of an ended job only its end, of an unknown one
    /// nothing.
    pub fn rewrite(&mut self, ids: impl IntoIterator<Item = JobId>) {
        let ids: BTreeSet<JobId> = ids.into_iter().collect();
        let mut left = self.outstanding_records(&ids);
        ids.into_iter().for_each(|id| self.rewrite_job(id, left.remove(&id).unwrap_or_default()));
    }

    /// Rewrites the records of one job. `left` are the records of runs that may still be on workers although no task
    /// is held by them.
    fn rewrite_job(&mut self, id: JobId, left: Vec<Record>) {
        let workspace = self.workspace(id).cloned();
        let Some(entry) = self.jobs.get(&id) else { return };
        // Leftovers must follow the records of completed tasks, which replay would otherwise take for the end of the
        // leftover run.
        let (leftovers, placed): (Vec<_>, Vec<_>) =
            left.into_iter().partition(|record| matches!(record, Record::Leftover { .. }));
        let mut records = match entry.outcome {
            Some(ended) => vec![Record::Ended { id, outcome: ended.outcome, workspace }],
            None => live_records(id, entry, workspace, placed),
        };
        records.extend(leftovers);
        records.into_iter().for_each(|record| self.record_rewritten(record));
    }

    /// Records of runs of these jobs that may be on workers although no task is held by them, by job. Without them,
    /// placements on workers whose leases have expired and whose end isn't known yet would count against no task, and
    /// leftovers against no limit.
    fn outstanding_records(&self, ids: &BTreeSet<JobId>) -> HashMap<JobId, Vec<Record>> {
        let mut found: HashMap<JobId, Vec<Record>> = HashMap::new();
        for (id, worker) in &self.workers {
            for lost in worker.possibly_lost.iter().filter(|lost| ids.contains(&lost.task.unit.job)) {
                let placed = Record::Placed { task: lost.task, attempt: lost.attempt, worker: id.clone() };
                found.entry(lost.task.unit.job).or_default().push(placed);
            }
            for ((task, attempt), run) in worker.runs.iter().filter(|((task, _), _)| ids.contains(&task.unit.job)) {
                let Some(charge) = run.charge.filter(|_| !self.is_held(*task, id, *attempt)) else { continue };
                let leftover = self.quota.leftover(id, *task, *attempt, charge);
                found.entry(task.unit.job).or_default().extend(leftover);
            }
        }
        for (id, leftover) in self.quota.leftovers(ids) {
            found.entry(id).or_default().push(leftover);
        }
        found
    }

    /// Whether a task of an unfinished job is held by this run.
    fn is_held(&self, task: Task, worker: &str, attempt: Attempt) -> bool {
        let live = self.live.contains(&task.unit.job);
        let state = self.unit(task.unit).and_then(|unit| unit.tasks.get(task.index as usize));
        live && state
            .is_some_and(|state| matches!(&state.phase, Phase::Held(on, run) if on == worker && *run == attempt))
    }

    fn record_rewritten(&mut self, record: Record) {
        self.record(Record::Rewritten(Box::new(record)));
    }

    /// Writes the records of these workers anew, except for those that have ended.
    pub fn rewrite_workers(&mut self, ids: impl IntoIterator<Item = WorkerId>) {
        for id in ids {
            let Some(worker) = self.workers.get(&id) else { continue };
            let address = worker.info.address.clone();
            let former = self.former_incarnation_record(&id);
            self.record_rewritten(Record::Worker { id, address });
            former.into_iter().for_each(|former| self.record_rewritten(former));
        }
    }
}

/// The records that rebuild an unfinished job. `placed` are its runs on workers whose end isn't known.
fn live_records(id: JobId, entry: &Entry, workspace: Option<WorkspaceName>, placed: Vec<Record>) -> Vec<Record> {
    let accepted = Record::Accepted {
        id,
        queue: entry.queue.clone(),
        workspace,
        at: entry.accepted.wall,
        job: (*entry.job).clone(),
    };
    let unit = |((round, step), unit): (&(u32, u16), &UnitState)| {
        unit_records(Unit { job: id, round: *round, step: *step }, unit)
    };
    [accepted].into_iter().chain(placed).chain(entry.units.iter().flat_map(unit)).collect()
}

/// The records that rebuild a unit.
fn unit_records(name: Unit, unit: &UnitState) -> Vec<Record> {
    let mut records = Vec::new();
    for (index, task) in unit.tasks.iter().enumerate() {
        let task_name = Task { unit: name, index: index as u32 };
        if task.phase == Phase::Done {
            records.push(Record::Done { task: task_name });
        }
        if let Phase::Held(worker, attempt) = &task.phase {
            records.push(Record::Placed { task: task_name, attempt: *attempt, worker: worker.clone() });
        }
        if let Some(Inherited { worker, attempt }) = &task.inherited {
            records.push(Record::Placed { task: task_name, attempt: *attempt, worker: worker.clone() });
        }
        records.extend(task.crashes.iter().map(|crash| Record::RunLost {
            task: task_name,
            attempt: crash.attempt,
            worker: crash.worker.clone(),
            evidence: crash.evidence,
        }));
        records.extend(task.failed.iter().map(|attempt| Record::Failed { task: task_name, attempt: *attempt }));
    }
    if unit.is_released() {
        records.extend((0..unit.count as u32).map(|index| Record::Done { task: Task { unit: name, index } }));
    }
    let gang = Task { unit: name, index: 0 };
    records.extend(unit.failed.iter().map(|attempt| Record::Failed { task: gang, attempt: *attempt }));
    records
}

/// Info of a worker that the log names and the platform's list doesn't: its leases are renewed, but it gets no work.
pub(crate) fn unlisted_info() -> WorkerInfo {
    WorkerInfo {
        address: String::new(),
        pool: String::new(),
        zone: String::new(),
        labels: Vec::new(),
        capacity: model::Resources::ZERO,
        draining: false,
        evacuated: false,
    }
}
