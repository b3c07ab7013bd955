//! Names of jobs and tasks.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A job's id, chosen by its caller: 16 hexadecimal digits on the wire.
pub type JobId = u64;
/// A queue's name in the configuration.
pub type QueueName = String;
/// A workspace's name in the configuration.
pub type WorkspaceName = String;
/// One life of a worker; see [`crate::WorkerIncarnation`].
pub type WorkerId = String;
/// Number of a reign: each leader has a higher one than all before it. It fences orders to workers.
pub type Term = u64;
/// Number of a start of one task; rises with each start. The members of a gang share it.
pub type Attempt = u64;

/// Digits of a job's id.
const DIGITS: usize = 16;

/// Reads a job's id: exactly 16 lower-case hexadecimal digits.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let plain = text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Writes a job's id as its caller wrote it.
pub fn format_job_id(id: JobId) -> String {
    format!("{id:016x}")
}

/// One run through a step: all tasks of step `step` in round `round` of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Unit {
    /// The job.
    pub job: JobId,
    /// Round of a repeated job; 0 for others.
    pub round: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

impl fmt::Display for Unit {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}.{}.{}", self.job, self.round, self.step)
    }
}

/// One task of a unit; its name is `JOB.ROUND.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// The unit.
    pub unit: Unit,
    /// Number in the unit, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.unit, self.index)
    }
}

/// A text that names no task.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not the name of a task")]
pub struct ParseTaskError(String);

impl FromStr for Task {
    type Err = ParseTaskError;

    fn from_str(text: &str) -> Result<Task, ParseTaskError> {
        let fault = || ParseTaskError(text.to_owned());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(fault);
        let job = parse_job_id(next()?).ok_or_else(fault)?;
        let round = next()?.parse().map_err(|_| fault())?;
        let step = next()?.parse().map_err(|_| fault())?;
        let index = next()?.parse().map_err(|_| fault())?;
        if parts.next().is_some() {
            return Err(fault());
        }
        Ok(Task { unit: Unit { job, round, step }, index })
    }
}
