//! Identifiers of jobs, tasks and workers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Job id chosen by the caller; written as 16 hexadecimal digits on the wire.
pub type JobId = u64;
/// Name of a queue in the operator's configuration.
pub type QueueName = String;
/// Name of a workspace in the operator's configuration.
pub type WorkspaceName = String;
/// Identifies one incarnation of a worker; see [`crate::WorkerIncarnation`].
pub type WorkerId = String;
/// Leadership term. Each leader's term is higher than those of all leaders before it. Workers use it as a fencing token for
/// orders.
pub type Term = u64;
/// Number of a run of a task, which increases with each start. All tasks of a gang share it.
pub type Attempt = u64;

/// Number of hexadecimal digits in the text form of a job id.
const JOB_ID_DIGITS: usize = 16;

/// Parses a job id from exactly 16 lower-case hexadecimal digits.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let well_formed =
        text.len() == JOB_ID_DIGITS && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    well_formed.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Formats a job id the way [`parse_job_id`] reads it.
pub fn format_job_id(id: JobId) -> String {
    format!("{id:016x}")
}

/// Unit of scheduling: all tasks of one step in one round of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Unit {
    pub job: JobId,
    /// Round of a repeated job; 0 for a job that isn't repeated.
    pub round: u32,
    /// Index of the step, from 0.
    pub step: u16,
}

impl fmt::Display for Unit {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}.{}.{}", self.job, self.round, self.step)
    }
}

/// One task of a unit. Its text form is `JOB.ROUND.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    pub unit: Unit,
    /// Index within the unit, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}", self.unit, self.index)
    }
}

/// The text isn't a task id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a task id of the form JOB.ROUND.STEP.INDEX")]
pub struct ParseTaskError(String);

impl FromStr for Task {
    type Err = ParseTaskError;

    fn from_str(text: &str) -> Result<Task, ParseTaskError> {
        let error = || ParseTaskError(text.to_owned());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let job = parse_job_id(next()?).ok_or_else(error)?;
        let round = next()?.parse().map_err(|_| error())?;
        let step = next()?.parse().map_err(|_| error())?;
        let index = next()?.parse().map_err(|_| error())?;
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(Task { unit: Unit { job, round, step }, index })
    }
}
