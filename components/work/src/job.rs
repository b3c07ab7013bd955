//! Jobs as callers submit them: a list of steps, each with a number of identical tasks.

use std::time::Duration;

use model::Resources;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a specification, in bytes; the users' platform doesn't allow longer ones.
const MAX_SPECIFICATION: usize = 4000;
/// Maximum number of steps of a job, which bounds the memory of a job. Jobs seen so far have up to 4 steps.
pub(crate) const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a step. The largest step seen so far has 60 tasks.
const MAX_TASKS_PER_STEP: u32 = 2000;

/// A job as described by its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Opaque text passed to the workers.
    pub specification: String,
    /// Steps in the caller's order.
    pub steps: Vec<Step>,
    /// Schedule of a job that is repeated at fixed times.
    pub schedule: Option<Schedule>,
}

/// Times at which a repeated job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of rounds. Each round runs all steps of the job once.
    pub rounds: u32,
    /// Start time of the first round, since 1970.
    pub first: Duration,
    /// Interval between the start times of two rounds.
    pub every: Duration,
}

/// A group of identical tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks in the step.
    pub count: u32,
    /// Resources that each task needs on its worker.
    pub need: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Indexes of earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints while they run.
    pub checkpoints: bool,
    /// Whether the tasks may only run all together (gang scheduling).
    pub gang: bool,
    /// Whether tasks run slower if they are spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have; empty if any worker is suitable.
    pub label: String,
    /// Rack that holds the step's data; empty if there is none.
    pub rack: String,
    /// Maximum number of the step's tasks on one worker; 0 means no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run concurrently (speculative execution).
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run. Tasks with the same image behave alike.
    pub image: String,
    /// Bound on the tail latency of a long-running task's responses; zero means none.
    pub max_tail_latency: Duration,
    /// Whether the tasks' CPU need is left out when the free capacity of a worker is computed.
    pub best_effort_cpu: bool,
    /// Maximum number of tasks of a long-running step that the scheduler itself may make unavailable at the same time.
    pub max_unavailable: u32,
}

/// Maximum number of tasks in one round of a job: the number that the whole cell is designed to run.
const MAX_TASKS_PER_ROUND: u32 = 10_000;
/// Maximum number of rounds of a repeated job, enough for one per hour for a year.
const MAX_ROUNDS: u32 = 10_000;
/// Maximum of the durations in a job, far above the longest run seen so far.
const MAX_DURATION: Duration = Duration::from_secs(7 * 86_400);

/// Why a job is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JobError {
    #[error("the specification has {0} bytes, more than the maximum of {MAX_SPECIFICATION}")]
    Specification(usize),
    #[error("the job has {0} steps, but must have between 1 and {MAX_STEPS}")]
    Steps(usize),
    #[error("step {step} has {count} tasks, but must have between 1 and {MAX_TASKS_PER_STEP}")]
    Tasks { step: usize, count: u32 },
    #[error("the job has {0} tasks per round, more than the maximum of {MAX_TASKS_PER_ROUND}")]
    Total(u32),
    #[error("the job has {0} rounds, but must have between 1 and {MAX_ROUNDS}")]
    Rounds(u32),
    #[error("step {step} has a duration of {} s, more than the maximum of {} s", time.as_secs(), MAX_DURATION.as_secs())]
    Time { step: usize, time: Duration },
    #[error("step {step} depends on step {on}, which doesn't come before it")]
    Order { step: usize, on: u16 },
}

impl Job {
    /// Validates the job.
    ///
    /// # Errors
    ///
    /// Fails if the specification, a count or a duration is out of bounds, or if a step depends on itself or a later step.
    pub fn check(&self) -> Result<(), JobError> {
        if self.specification.len() > MAX_SPECIFICATION {
            return Err(JobError::Specification(self.specification.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobError::Steps(self.steps.len()));
        }
        self.steps.iter().enumerate().try_for_each(|(number, step)| step.check(number))?;
        let total = self.steps.iter().map(|step| step.count).sum();
        if total > MAX_TASKS_PER_ROUND {
            return Err(JobError::Total(total));
        }
        match self.rounds() {
            1..=MAX_ROUNDS => Ok(()),
            rounds => Err(JobError::Rounds(rounds)),
        }
    }

    /// Returns the memory that the description takes, in bytes.
    pub fn memory(&self) -> usize {
        let steps: usize = self.steps.iter().map(Step::memory).sum();
        size_of::<Job>() + self.specification.capacity() + steps
    }

    /// Returns the number of rounds; 1 for a job that isn't repeated.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.rounds)
    }

    /// Returns the start time of a round, since 1970; zero for a job that isn't repeated.
    pub fn due(&self, round: u32) -> Duration {
        self.schedule
            .map_or(Duration::ZERO, |schedule| schedule.first.saturating_add(schedule.every.saturating_mul(round)))
    }
}

impl Step {
    /// Returns the memory that the step takes, in bytes.
    fn memory(&self) -> usize {
        let texts = self.label.capacity() + self.rack.capacity() + self.image.capacity();
        size_of::<Step>() + texts + self.after.capacity() * size_of::<u16>()
    }

    fn check(&self, number: usize) -> Result<(), JobError> {
        if self.count == 0 || self.count > MAX_TASKS_PER_STEP {
            return Err(JobError::Tasks { step: number, count: self.count });
        }
        if let Some(time) = [self.estimate, self.max_tail_latency].into_iter().find(|time| *time > MAX_DURATION) {
            return Err(JobError::Time { step: number, time });
        }
        match self.after.iter().find(|on| usize::from(**on) >= number) {
            Some(on) => Err(JobError::Order { step: number, on: *on }),
            None => Ok(()),
        }
    }
}
