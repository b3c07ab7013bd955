//! Ids of tasks and of the attempts to run them, and how attempts end.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, Epoch, WorkloadId};

/// Id of a task, unique in the cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    pub workload: WorkloadId,
    /// Generation of the workload: larger than that of any earlier workload of the same name.
    pub life: u32,
    /// The data centre that the task was assigned to.
    pub data_centre: DataCentreId,
    /// Index among the workload's tasks in that data centre, from 0.
    pub index: u32,
}

impl fmt::Display for Id {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The generation is left out: of several workloads with one name, at most one matters to a reader.
        write!(out, "{}.{}.{}", self.workload, self.data_centre, self.index)
    }
}

/// Name of a task as operators write it, without the generation of the workload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    pub workload: WorkloadId,
    /// The data centre that the task was assigned to.
    pub data_centre: DataCentreId,
    /// Index among the workload's tasks in that data centre, from 0.
    pub index: u32,
}

impl std::str::FromStr for Name {
    type Err = ParseNameError;

    fn from_str(text: &str) -> Result<Name, ParseNameError> {
        let mut parts = text.rsplitn(3, '.');
        let index = parts.next().and_then(|part| part.parse().ok()).ok_or(ParseNameError)?;
        let data_centre = parts.next().ok_or(ParseNameError)?.to_owned();
        let workload = parts.next().ok_or(ParseNameError)?.to_owned();
        Ok(Name { workload, data_centre, index })
    }
}

/// The text is not the name of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a task is named WORKLOAD.DATA-CENTRE.NUMBER, for example planner.gt-1.0")]
pub struct ParseNameError;

/// Identifies one attempt to run a task. Attempts are ordered by the epoch of the partition claim, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Epoch of the partition claim under which the attempt was started.
    pub epoch: Epoch,
    /// Sequence number within that epoch, from 1.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.epoch, self.number)
    }
}

/// How an attempt ended, as reported by its worker.
///
/// Also encoded with `postcard`, which can't decode internally tagged enums, so this one is externally tagged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It ran to completion.
    Finished,
    /// It failed without being stopped.
    Failed {
        /// The worker's error message.
        message: String,
    },
    /// It was stopped by a command.
    Stopped,
    /// Its lease expired.
    Lost,
    /// Its worker was restarted, which ends all of its attempts.
    Restarted,
}
