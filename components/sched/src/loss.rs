//! What a worker's end took with it, for the log.

use std::time::Duration;

use work::{Attempt, Task, WorkerId};

use crate::engine::{Clock, Engine};
use crate::worker::Phase;

/// How a worker's life was learnt to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passing {
    /// Another life is at its address.
    Replaced,
    /// It has left the platform's list and its leases have run out.
    Unlisted,
    /// An earlier leader knew it; nobody lists it any more and it never answered this one.
    Unseen,
}

impl Passing {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Passing::Replaced => "replaced",
            Passing::Unlisted => "unlisted",
            Passing::Unseen => "unseen",
        }
    }
}

/// A worker's life that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The worker.
    pub worker: WorkerId,
    /// How that was learnt.
    pub passing: Passing,
    /// Time since its last answer.
    pub silent: Duration,
    /// Whether it had announced that it would leave.
    pub draining: bool,
    /// Runs that were there, or may have been.
    pub runs: Vec<Lost>,
}

/// A run that went with its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Lost {
    /// The task.
    pub task: Task,
    /// The run.
    pub attempt: Attempt,
    /// From the decision to start it to the worker's last answer; zero if that answer came before.
    pub age: Duration,
    /// Whether the worker has ever listed it as running.
    pub shown: bool,
    /// Whether its start was answered and no stop was ordered.
    pub confirmed: bool,
}

impl Engine {
    /// Takes note of the end of a worker, and of the runs that go with it.
    pub(crate) fn note_end(&mut self, clock: Clock, id: &str, passing: Passing) {
        let Some(worker) = self.workers.get(id) else { return };
        let lost = |((task, attempt), run): (&(Task, Attempt), &crate::worker::Run)| Lost {
            task: *task,
            attempt: *attempt,
            age: worker.heard.saturating_sub(run.decided),
            shown: run.shown,
            confirmed: matches!(run.phase, Phase::Running(_)),
        };
        let ended = Ended {
            worker: id.to_owned(),
            passing,
            silent: clock.now.saturating_sub(worker.heard),
            draining: worker.info.draining,
            runs: worker.runs.iter().map(lost).collect(),
        };
        self.ended_workers.push(ended);
    }

    /// Takes the ends of workers since the last call.
    pub fn take_ended_workers(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended_workers)
    }
}
