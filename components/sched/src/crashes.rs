//! Tasks that take their workers down: what the end of a worker says against the tasks that were there, and when one is given up.
//!
//! A worker that goes down reports nothing, so its end is itself the failed attempt of whatever took it down. It is held against the
//! tasks that were there, and kept in the log. What had just begun is suspected: a task that takes its workers down does so at once and is
//! never listed as running, while most runs on workers that go down for reasons of their own had been. A suspect is tried where nothing
//! else has just begun, and nothing else begins there meanwhile, so that the next end tells it from those that merely stood beside it.

use std::collections::BTreeSet;
use std::time::Duration;

use work::{Attempt, Evidence, JobId, Outcome, Record, Task, WorkerId};

use crate::engine::{Clock, Engine};
use crate::entry::{Phase, TaskState, UnitState};
use crate::lost_runs::{EndedWorker, LostRun, WorkerEndReason};

/// A task is given up once it alone can have taken so many workers down. The platform would let two do: but a start that a worker had just
/// answered when it went down for a reason of its own looks the same, and twice is no rare chance.
const MAX_SOLE_ENDS: usize = 3;
/// ... or once so many workers have ended under it: the most that the platform lets a task cause.
const MAX_WORKER_ENDS: usize = 5;
/// A lasting task that has served for so long isn't what took its worker down, and what was held against it before is forgotten: else
/// ends of workers for their own reasons would add up over its days.
const CLEARED_AFTER: Duration = Duration::from_secs(30);
/// A suspect waits this long for a place where nothing has just begun: on a busy pool of few workers there may be none.
const ISOLATION_WAIT: Duration = Duration::from_secs(2);

/// The end of a worker, held against a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub worker: WorkerId,
    /// The run that went with it; 0 where that isn't known.
    pub attempt: Attempt,
    pub evidence: Evidence,
}

impl TaskState {
    /// Holds the end of a worker against the task. Whether that is news: each run ends once, with one of the lives that may have carried its
    /// order out. A worker may end again and again under its id, with another run each time.
    pub(crate) fn record_crash(&mut self, crash: Crash) -> bool {
        if crash.evidence == Evidence::Cleared {
            return !std::mem::take(&mut self.crashes).is_empty();
        }
        let unnamed = crash.attempt == 0;
        let same = |known: &Crash| known.attempt == crash.attempt && (!unnamed || known.worker == crash.worker);
        if self.crashes.iter().any(same) {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// A worker lists a run of the task, which isn't what takes workers down as it begins, then. The ends still count.
    pub(crate) fn mark_survived(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.evidence = Evidence::Weak);
    }

    /// Whether the task is tried apart from others.
    pub(crate) fn is_suspect(&self) -> bool {
        self.crashes.iter().any(|crash| matches!(crash.evidence, Evidence::Sole | Evidence::Shared))
    }

    /// Whether too many workers have ended under the task.
    pub(crate) fn crashes_workers(&self) -> bool {
        let sole = self.crashes.iter().filter(|crash| crash.evidence == Evidence::Sole).count();
        sole >= MAX_SOLE_ENDS || self.crashes.len() >= MAX_WORKER_ENDS
    }
}

impl UnitState {
    /// Whether a task that waits may have taken as many workers down as one may, once what became of the silent ones is known. Till then it
    /// isn't started: leases run out before a worker is known to have ended, and it would start anew with each.
    pub(crate) fn awaits_worker_ends(&self) -> bool {
        let doubtful = |task: &TaskState| task.silent > 0 && task.crashes.len() + task.silent >= MAX_WORKER_ENDS;
        self.tasks.iter().any(|task| task.phase == Phase::Pending && doubtful(task))
    }

    /// Whether a task that waits is to be tried apart from others.
    fn has_suspects(&self) -> bool {
        self.tasks.iter().any(|task| task.phase == Phase::Pending && task.is_suspect())
    }

    /// Begins to look for places for suspects, apart from others for a while.
    pub(crate) fn update_isolation(&mut self, now: Duration) {
        self.isolated_until = self.has_suspects().then(|| self.isolated_until.unwrap_or(now + ISOLATION_WAIT));
    }

    /// Whether suspects still wait for a place where nothing has just begun.
    pub(crate) fn requires_isolation(&self, now: Duration) -> bool {
        self.isolated_until.is_some_and(|until| now < until)
    }
}

/// What the end of a worker says against a run that went with it; `None` where nothing.
///
/// Only another life at its address, or a run that its lists lack, shows for certain that a worker went down: one that is cut off for long
/// is taken for gone, too. One that had announced its end took along what it ran. Where a suspect was tried, that explains what happened to
/// runs that had begun before.
fn evidence(ended: &EndedWorker, lost: &LostRun) -> Option<Evidence> {
    if lost.lasting && lost.seen_running && lost.age >= CLEARED_AFTER {
        return Some(Evidence::Cleared);
    }
    if lost.seen_running {
        return (!ended.draining && !lost.explained).then_some(Evidence::Weak);
    }
    match ended.reason {
        WorkerEndReason::Replaced | WorkerEndReason::Followed | WorkerEndReason::Restarted if ended.draining => {
            Some(Evidence::Weak)
        }
        WorkerEndReason::Replaced | WorkerEndReason::Followed | WorkerEndReason::Restarted
            if lost.sole && lost.confirmed =>
        {
            Some(Evidence::Sole)
        }
        WorkerEndReason::Replaced | WorkerEndReason::Followed | WorkerEndReason::Restarted => Some(Evidence::Shared),
        WorkerEndReason::Unlisted | WorkerEndReason::Unseen => Some(Evidence::Weak),
    }
}

impl Engine {
    /// Takes note that a worker is silent under which these runs may have taken it down: not those that it had listed for a moment.
    pub(crate) fn add_silent(&mut self, left: &[LostRun]) {
        self.change_silent(left, |silent| silent + 1);
    }

    /// Takes that back: the worker has answered, or is known to have ended.
    pub(crate) fn remove_silent(&mut self, left: &[LostRun]) {
        self.change_silent(left, |silent| silent.saturating_sub(1));
    }

    fn change_silent(&mut self, left: &[LostRun], change: impl Fn(usize) -> usize) {
        for lost in left.iter().filter(|lost| lost.may_have_begun_last()) {
            if let Some(state) = self.task_mut(lost.task) {
                state.silent = change(state.silent);
            }
        }
    }

    /// Holds the end of a worker against the tasks that were there, each once. The jobs that are to be given up for it.
    pub(crate) fn attribute_end(&mut self, ended: &mut EndedWorker) -> BTreeSet<JobId> {
        let mut exhausted = BTreeSet::new();
        let mut held = BTreeSet::new();
        for index in 0..ended.runs.len() {
            let LostRun { task, attempt, .. } = ended.runs[index];
            let Some(evidence) = evidence(ended, &ended.runs[index]) else { continue };
            let Some(state) = self.open_task(task) else { continue };
            let worker = ended.worker.clone();
            // What was left of an earlier run of the task may have been there, too.
            if !held.insert(task) || !state.record_crash(Crash { worker: worker.clone(), attempt, evidence }) {
                continue;
            }
            let lost = &mut ended.runs[index];
            lost.evidence = Some(evidence);
            lost.ends = state.crashes.len();
            lost.given_up = state.crashes_workers();
            if lost.given_up {
                exhausted.insert(task.unit.job);
            }
            self.record(Record::RunLost { task, attempt, worker, evidence });
        }
        exhausted
    }

    /// A task that isn't done, of a job that hasn't ended.
    fn open_task(&mut self, task: Task) -> Option<&mut TaskState> {
        if !self.live.contains(&task.unit.job) {
            return None;
        }
        self.task_mut(task).filter(|state| state.phase != Phase::Done)
    }

    /// Whether a task is to be tried apart from others.
    pub(crate) fn is_suspect(&self, task: Task) -> bool {
        let state = self.unit(task.unit).and_then(|unit| unit.tasks.get(task.index as usize));
        state.is_some_and(TaskState::is_suspect)
    }

    /// Gives jobs up: they have failed.
    pub(crate) fn fail_jobs(&mut self, clock: Clock, jobs: impl IntoIterator<Item = JobId>) {
        for id in jobs {
            self.end(clock, id, Outcome::Failed);
            self.stop_all(id);
        }
    }
}
