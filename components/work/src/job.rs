//! What a caller asks for: a job of steps, each of some equal tasks.

use std::time::Duration;

use model::Resources;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest specification, in bytes: the users' platform allows no longer one.
const MAX_SPECIFICATION: usize = 4000;
/// Most steps of a job. Jobs seen so far have up to four; the bound keeps a job's memory small.
const MAX_STEPS: usize = 64;
/// Most tasks of a step; the largest seen so far has 60.
const MAX_TASKS: u32 = 2000;

/// A job as its caller described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Text for the workers; not read here.
    pub specification: String,
    /// Its steps, in the caller's order.
    pub steps: Vec<Step>,
    /// When the steps run, for a job that is repeated at set times.
    pub schedule: Option<Schedule>,
}

/// Times at which a job's steps run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How often.
    pub rounds: u32,
    /// Due time of the first round, since 1970.
    pub first: Duration,
    /// Time from one round to the next.
    pub every: Duration,
}

/// Equal tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes of its worker.
    pub need: Resources,
    /// The caller's rough guess of a task's run time.
    pub estimate: Duration,
    /// Earlier steps that must be done before.
    pub after: Vec<u16>,
    /// Whether its tasks save their progress as they run.
    pub checkpoints: bool,
    /// Whether its tasks run only all together.
    pub gang: bool,
    /// Whether its tasks run slower when they are spread over racks.
    pub same_rack: bool,
    /// Label that a worker must have; empty for any worker.
    pub label: String,
    /// Rack of its data; empty for none.
    pub rack: String,
    /// Most of its tasks on one worker; 0 for any number.
    pub max_per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    pub long_running: bool,
    /// What its tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound for the tail of a lasting task's answers; zero for none.
    pub max_tail_latency: Duration,
    /// Whether its processor need isn't counted against a worker's room.
    pub best_effort_cpu: bool,
    /// Tasks of a lasting step that may be away at once by our own doing.
    pub max_unavailable: u32,
}

/// Most tasks of one round of a job: what the whole cell is designed to run.
const MAX_TASKS_A_ROUND: u32 = 10_000;
/// Most rounds of a repeated job: one an hour for a year.
const MAX_ROUNDS: u32 = 10_000;
/// Longest time that a job may name, far above any run seen so far.
const MAX_TIME: Duration = Duration::from_secs(7 * 86_400);

/// Why a job can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JobError {
    /// The specification is too long.
    #[error("the specification has {0} bytes, at most {MAX_SPECIFICATION} are taken")]
    Specification(usize),
    /// There are no steps, or too many.
    #[error("the job has {0} steps, between 1 and {MAX_STEPS} are taken")]
    Steps(usize),
    /// A step has no tasks, or too many.
    #[error("step {step} has {count} tasks, between 1 and {MAX_TASKS} are taken")]
    Tasks {
        /// The step.
        step: usize,
        /// Its tasks.
        count: u32,
    },
    /// The steps have too many tasks together.
    #[error("the steps have {0} tasks together, at most {MAX_TASKS_A_ROUND} are taken")]
    Total(u32),
    /// There are no rounds, or too many.
    #[error("the job has {0} rounds, between 1 and {MAX_ROUNDS} are taken")]
    Rounds(u32),
    /// A time is too long.
    #[error("step {step} names a time of {} s, at most {} s are taken", time.as_secs(), MAX_TIME.as_secs())]
    Time {
        /// The step.
        step: usize,
        /// The time.
        time: Duration,
    },
    /// A step waits for itself or for a later one.
    #[error("step {step} depends on step {on}, which doesn't come before it")]
    Order {
        /// The step.
        step: usize,
        /// What it names.
        on: u16,
    },
}

impl Job {
    /// Checks the job whole.
    pub fn check(&self) -> Result<(), JobError> {
        if self.specification.len() > MAX_SPECIFICATION {
            return Err(JobError::Specification(self.specification.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobError::Steps(self.steps.len()));
        }
        self.steps.iter().enumerate().try_for_each(|(number, step)| step.check(number))?;
        let total = self.steps.iter().map(|step| step.count).sum();
        if total > MAX_TASKS_A_ROUND {
            return Err(JobError::Total(total));
        }
        match self.rounds() {
            1..=MAX_ROUNDS => Ok(()),
            rounds => Err(JobError::Rounds(rounds)),
        }
    }

    /// Number of rounds; 1 for a job that isn't repeated.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.rounds)
    }

    /// When a round is due, since 1970; zero for a job that isn't repeated.
    pub fn due(&self, round: u32) -> Duration {
        self.schedule
            .map_or(Duration::ZERO, |schedule| schedule.first.saturating_add(schedule.every.saturating_mul(round)))
    }
}

impl Step {
    fn check(&self, number: usize) -> Result<(), JobError> {
        if self.count == 0 || self.count > MAX_TASKS {
            return Err(JobError::Tasks { step: number, count: self.count });
        }
        if let Some(time) = [self.estimate, self.max_tail_latency].into_iter().find(|time| *time > MAX_TIME) {
            return Err(JobError::Time { step: number, time });
        }
        match self.after.iter().find(|on| usize::from(**on) >= number) {
            Some(on) => Err(JobError::Order { step: number, on: *on }),
            None => Ok(()),
        }
    }
}
