//! What a worker's end takes with it.

use std::collections::BTreeSet;
use std::time::Duration;

use work::{Attempt, Evidence, JobId, Task, WorkerId};

use crate::engine::Engine;
use crate::worker::{Phase, Run};

/// How a worker's life was learnt to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEndReason {
    /// Another life has answered at its address.
    Replaced,
    /// The platform's list shows a life that was born later, under its name or at its address.
    Followed,
    /// It has left the platform's list and its leases have run out.
    Unlisted,
    /// An earlier leader knew it; nobody lists it any more and it never answered this one.
    Unseen,
    /// It answers, and neither lists a run that it had begun nor the run's end: it has started again under its id.
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

/// A worker's life that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// How that was learnt.
    pub reason: WorkerEndReason,
    /// Time since its last answer.
    pub silent: Duration,
    /// Whether it had announced that it would leave.
    pub draining: bool,
    /// Runs that were there, or may have been, when it last answered or later.
    pub runs: Vec<LostRun>,
    /// The life that follows it under its name, if that is known.
    pub next: Option<WorkerId>,
}

/// A run that went with its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct LostRun {
    /// The task.
    pub task: Task,
    /// The run; 0 where an earlier leader ordered it and its number isn't known.
    pub attempt: Attempt,
    /// From the decision to start it to the worker's last answer; zero if that answer came before.
    pub age: Duration,
    /// Whether the worker has listed it when it had run for a moment.
    pub seen_running: bool,
    /// Whether it had certainly begun: this leader has had an answer to its start, or has seen it listed.
    pub begun: bool,
    /// Whether its start was answered and no stop was ordered.
    pub confirmed: bool,
    /// Whether no run of another job was there that the worker hadn't listed yet.
    pub sole: bool,
    /// Whether it had been listed, and a task was tried there that is more likely to have taken the worker down.
    pub explained: bool,
    /// Whether its step is lasting.
    pub lasting: bool,
    /// What the worker's end says against its task.
    pub evidence: Option<Evidence>,
    /// Ends of workers that are held against the task now.
    pub ends: usize,
    /// Whether its job is given up for it.
    pub given_up: bool,
}

impl LostRun {
    /// Which run it is.
    pub(crate) fn key(&self) -> (Task, Attempt) {
        (self.task, self.attempt)
    }

    /// Whether it may have begun a moment before its worker fell silent.
    pub(crate) fn may_have_begun_last(&self) -> bool {
        !self.seen_running || !self.begun
    }

    /// A task that an earlier leader placed on a worker from which nothing has been heard since.
    pub(crate) fn inherited(task: Task, attempt: Attempt) -> LostRun {
        LostRun {
            task,
            attempt,
            age: Duration::ZERO,
            seen_running: true,
            begun: false,
            confirmed: false,
            sole: false,
            explained: false,
            lasting: false,
            evidence: None,
            ends: 0,
            given_up: false,
        }
    }
}

impl Engine {
    /// What goes with a worker that was last heard at this time: its runs, but for starts that weren't sent.
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
            begun: run.begun.is_some(),
            confirmed: matches!(run.phase, Phase::Running(_)),
            sole: new.len() == 1,
            explained: run.seen_running && worker.suspects > 0,
            lasting: self.step(*task).is_some_and(|step| step.long_running),
            ..LostRun::inherited(*task, *attempt)
        };
        sent.iter().map(lost).collect()
    }

    /// Takes the ends of workers since the last call.
    pub fn take_ended_workers(&mut self) -> Vec<EndedWorker> {
        std::mem::take(&mut self.ended_workers)
    }
}
