//! The runs that are lost when a worker ends.

use std::collections::BTreeSet;
use std::time::Duration;

use work::{Attempt, Evidence, JobId, Task, WorkerId};

use crate::engine::Engine;
use crate::worker::{Phase, Run};

/// Why an incarnation of a worker is known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEndReason {
    /// Another incarnation has answered at its address.
    Replaced,
    /// The platform's list shows a later incarnation under its name or at its address.
    Followed,
    /// It isn't in the platform's list any more and its leases have expired.
    Unlisted,
    /// It is known from an earlier leader, isn't listed any more, and never answered this leader.
    Unseen,
    /// It answered, but its report lacks both a run that had started and the end of that run: it has restarted under
    /// its id.
    Restarted,
}

impl WorkerEndReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            WorkerEndReason::Replaced => "replaced",
            WorkerEndReason::Followed => "followed",
            WorkerEndReason::Unlisted => "unlisted",
            WorkerEndReason::Unseen => "unseen",
            WorkerEndReason::Restarted => "restarted",
        }
    }
}

/// An incarnation of a worker that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedWorker {
    pub worker: WorkerId,
    /// How the end was detected.
    pub reason: WorkerEndReason,
    /// Time since its last answer.
    pub silent: Duration,
    /// Whether it had announced that it would shut down.
    pub draining: bool,
    /// Runs that were, or may have been, on the worker at its last answer or later.
    pub runs: Vec<LostRun>,
    /// The ends in the report that proves a restart; `None` if the end was detected otherwise.
    pub reported: Option<ReportedEnds>,
    /// The next incarnation under its name, if that is known.
    pub next: Option<WorkerId>,
}

/// The ends of runs in a worker's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedEnds {
    pub count: usize,
    /// Highest end number in the report; 0 without ends.
    pub newest: u64,
}

/// A run that was lost with its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct LostRun {
    pub task: Task,
    /// The run; 0 if an earlier leader ordered it and its number isn't known.
    pub attempt: Attempt,
    /// Time from the decision to start it to the worker's last answer; zero if that answer came before.
    pub age: Duration,
    /// Whether the worker had listed it after its startup window.
    pub seen_running: bool,
    /// Whether it had certainly started: this leader got an answer to its start, or the worker listed it.
    pub started: bool,
    /// Whether its start was confirmed and no stop was ordered.
    pub confirmed: bool,
    /// Whether no other job had a run on the worker that wasn't listed yet.
    pub only_new_job: bool,
    /// Whether it had been listed while a suspect task was tried on the worker, which more likely caused the end.
    pub beside_suspect: bool,
    /// Whether its step is long-running.
    pub long_running: bool,
    /// Evidence that the worker's end gives against its task.
    pub evidence: Option<Evidence>,
    /// Number of worker ends that are attributed to the task now.
    pub ends: usize,
    /// Whether its job is given up because of it.
    pub given_up: bool,
}

impl LostRun {
    /// Identifies the run.
    pub(crate) fn key(&self) -> (Task, Attempt) {
        (self.task, self.attempt)
    }

    /// Whether it may have started just before its worker fell silent.
    pub(crate) fn may_have_just_started(&self) -> bool {
        !self.seen_running || !self.started
    }

    /// A run that an earlier leader ordered from a worker that hasn't been heard of since.
    pub(crate) fn inherited(task: Task, attempt: Attempt) -> LostRun {
        LostRun {
            task,
            attempt,
            age: Duration::ZERO,
            seen_running: true,
            started: false,
            confirmed: false,
            only_new_job: false,
            beside_suspect: false,
            long_running: false,
            evidence: None,
            ends: 0,
            given_up: false,
        }
    }
}

impl Engine {
    /// The runs that are lost if a worker, last heard at this time, has ended: all except those whose starts weren't
    /// sent.
    pub(crate) fn losses(&self, id: &str, last_heard: Duration) -> Vec<LostRun> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let sent: Vec<(Task, Attempt, &Run)> = worker
            .runs
            .iter()
            .map(|((task, attempt), run)| (*task, *attempt, run))
            .filter(|(task, attempt, run)| run.phase != Phase::Starting || !self.is_unsent(id, *task, *attempt))
            .collect();
        let new: BTreeSet<JobId> =
            sent.iter().filter(|(.., run)| !run.seen_running).map(|(task, ..)| task.unit.job).collect();
        let lost = |(task, attempt, run): &(Task, Attempt, &Run)| LostRun {
            age: last_heard.saturating_sub(run.decided_at),
            seen_running: run.seen_running,
            started: run.started_at.is_some(),
            confirmed: matches!(run.phase, Phase::Running(_)),
            only_new_job: new.len() == 1,
            beside_suspect: run.seen_running && worker.suspects > 0,
            long_running: self.step(*task).is_some_and(|step| step.long_running),
            ..LostRun::inherited(*task, *attempt)
        };
        sent.iter().map(lost).collect()
    }

    /// Takes the workers that have ended since the last call.
    pub fn take_ended_workers(&mut self) -> Vec<EndedWorker> {
        std::mem::take(&mut self.ended_workers)
    }
}
