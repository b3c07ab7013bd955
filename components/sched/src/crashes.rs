//! Tasks that crash their workers: how the end of a worker is attributed to the tasks that were there, and when a
//! task is given up.
//!
//! A crashed worker reports nothing, so its end itself is the failed attempt of the task that crashed it. The end is
//! attributed to all tasks that were there and is recorded in the log. Runs that had just started are suspects: a
//! task that crashes workers does so at startup and is never listed as running, while most runs on workers that end
//! for other reasons had been listed. A suspect is tried in isolation: on a worker without other new runs, on which
//! nothing else is started meanwhile. The next crash then distinguishes it from tasks that merely ran beside it.

use std::collections::BTreeSet;
use std::time::Duration;

use work::{Attempt, Evidence, JobId, Outcome, Record, Task, WorkerId};

use crate::engine::{Clock, Engine};
use crate::entry::{Phase, TaskState, UnitState};
use crate::lost_runs::{EndedWorker, LostRun, WorkerEndReason};

/// A task is given up once this many workers have ended with it as the only suspect. The platform would allow two,
/// but a start that was just confirmed when the worker ended for another reason looks the same, and that happens
/// twice often enough.
const MAX_SOLE_ENDS: usize = 3;
/// A task is also given up once this many workers have ended under it, which is the maximum that the platform allows
/// one task to cause.
const MAX_WORKER_ENDS: usize = 5;
/// A long-running task that has run for this long didn't crash its worker, and earlier ends are no longer attributed
/// to it. Otherwise ends of workers for other reasons would add up over the days that it runs.
const CLEARED_AFTER: Duration = Duration::from_secs(30);
/// How long a suspect waits for a worker without new runs. On a busy pool of few workers there may be none.
const ISOLATION_WAIT: Duration = Duration::from_secs(2);

/// The end of a worker, attributed to a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub worker: WorkerId,
    /// The run that was lost with it; 0 if that isn't known.
    pub attempt: Attempt,
    pub evidence: Evidence,
}

impl TaskState {
    /// Attributes the end of a worker to the task, and returns whether that is new. Each run is lost once, with one
    /// of the incarnations that may have carried out its order. A worker may end repeatedly under its id, each time
    /// with another run.
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

    /// Records that a worker lists a run of the task, which therefore doesn't crash workers at startup. The ends
    /// still count.
    pub(crate) fn mark_survived(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.evidence = Evidence::Weak);
    }

    /// Whether the task is tried in isolation.
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
    /// Whether a pending task may have reached [`MAX_WORKER_ENDS`], depending on what became of the silent workers.
    /// It isn't started until that is known: leases expire before a worker is known to have ended, and the task would
    /// be started again after each expiry.
    pub(crate) fn awaits_worker_ends(&self) -> bool {
        let doubtful = |task: &TaskState| task.silent > 0 && task.crashes.len() + task.silent >= MAX_WORKER_ENDS;
        self.tasks.iter().any(|task| task.phase == Phase::Pending && doubtful(task))
    }

    /// Whether a pending task is to be tried in isolation.
    fn has_suspects(&self) -> bool {
        self.tasks.iter().any(|task| task.phase == Phase::Pending && task.is_suspect())
    }

    /// Starts or ends the period in which suspects are only placed in isolation.
    pub(crate) fn update_isolation(&mut self, now: Duration) {
        self.isolated_until = self.has_suspects().then(|| self.isolated_until.unwrap_or(now + ISOLATION_WAIT));
    }

    /// Whether suspects still wait for a worker without new runs.
    pub(crate) fn requires_isolation(&self, now: Duration) -> bool {
        self.isolated_until.is_some_and(|until| now < until)
    }
}

/// Evidence that the end of a worker gives against a run that was lost with it; `None` if it gives none.
///
/// Only another incarnation at its address, or a run that its reports lack, proves that a worker went down: a worker
/// behind a long network partition counts as ended, too. A draining worker ended together with its runs as announced.
/// If a suspect was tried there, that explains the loss of the runs that had started before.
fn evidence(ended: &EndedWorker, lost: &LostRun) -> Option<Evidence> {
    if lost.long_running && lost.seen_running && lost.age >= CLEARED_AFTER {
        return Some(Evidence::Cleared);
    }
    if lost.seen_running {
        return (!ended.draining && !lost.beside_suspect).then_some(Evidence::Weak);
    }
    match ended.reason {
        WorkerEndReason::Replaced | WorkerEndReason::Followed | WorkerEndReason::Restarted if ended.draining => {
            Some(Evidence::Weak)
        }
        WorkerEndReason::Replaced | WorkerEndReason::Followed | WorkerEndReason::Restarted
            if lost.only_new_job && lost.confirmed =>
        {
            Some(Evidence::Sole)
        }
        WorkerEndReason::Replaced | WorkerEndReason::Followed | WorkerEndReason::Restarted => Some(Evidence::Shared),
        WorkerEndReason::Unlisted | WorkerEndReason::Unseen => Some(Evidence::Weak),
    }
}

impl Engine {
    /// Records that a worker fell silent and that these runs may have crashed it. Runs that it had listed after their
    /// startup window are excluded.
    pub(crate) fn add_silent(&mut self, left: &[LostRun]) {
        self.change_silent(left, |silent| silent + 1);
    }

    /// Reverts [`Engine::add_silent`]: the worker has answered, or is known to have ended.
    pub(crate) fn remove_silent(&mut self, left: &[LostRun]) {
        self.change_silent(left, |silent| silent.saturating_sub(1));
    }

    fn change_silent(&mut self, left: &[LostRun], change: impl Fn(usize) -> usize) {
        for lost in left.iter().filter(|lost| lost.may_have_just_started()) {
            if let Some(state) = self.task_mut(lost.task) {
                state.silent = change(state.silent);
            }
        }
    }

    /// Attributes the end of a worker to the tasks that were there, to each once. Returns the jobs that must be
    /// failed because of it.
    pub(crate) fn attribute_end(&mut self, ended: &mut EndedWorker) -> BTreeSet<JobId> {
        let mut exhausted = BTreeSet::new();
        let mut held = BTreeSet::new();
        for index in 0..ended.runs.len() {
            let LostRun { task, attempt, .. } = ended.runs[index];
            let Some(evidence) = evidence(ended, &ended.runs[index]) else { continue };
            let Some(state) = self.open_task(task) else { continue };
            let worker = ended.worker.clone();
            // The remains of an earlier run of the task may have been there, too.
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

    /// The state of a task that isn't done and whose job hasn't ended.
    fn open_task(&mut self, task: Task) -> Option<&mut TaskState> {
        if !self.live.contains(&task.unit.job) {
            return None;
        }
        self.task_mut(task).filter(|state| state.phase != Phase::Done)
    }

    /// Whether a task is to be tried in isolation.
    pub(crate) fn is_suspect(&self, task: Task) -> bool {
        let state = self.unit(task.unit).and_then(|unit| unit.tasks.get(task.index as usize));
        state.is_some_and(TaskState::is_suspect)
    }

    /// Fails jobs and stops their runs.
    pub(crate) fn fail_jobs(&mut self, clock: Clock, jobs: impl IntoIterator<Item = JobId>) {
        for id in jobs {
            self.end(clock, id, Outcome::Failed);
            self.stop_all(id);
        }
    }
}
