//! One task of a workload, and its attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{DataCentreId, Epoch, WorkloadId};

/// Names a task in the cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The workload that it belongs to.
    pub workload: WorkloadId,
    /// Tells the workload from an earlier one with the same name; larger than any before.
    pub life: u32,
    /// The data centre that its share was given to.
    pub data_centre: DataCentreId,
    /// Position in that share, from 0.
    pub index: u32,
}

impl fmt::Display for Id {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The life is left out: of two workloads with one name at most one is of interest to a person.
        write!(out, "{}.{}.{}", self.workload, self.data_centre, self.index)
    }
}

/// A task's name as a person writes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// The workload.
    pub workload: WorkloadId,
    /// The data centre of its share.
    pub data_centre: DataCentreId,
    /// Position in that share.
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

/// A text that is not a task's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a task is named WORKLOAD.DATA-CENTRE.NUMBER, for example planner.gt-1.0")]
pub struct ParseNameError;

/// Orders the attempts at a task: first by the epoch of the claim, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Epoch of the claim under which it was started.
    pub epoch: Epoch,
    /// Number within that epoch, from 1.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.epoch, self.number)
    }
}

/// How an attempt ended, as its worker tells it.
///
/// Travels in `postcard` too, which can't read enums that are tagged within their fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It ran to its end.
    Finished,
    /// It failed by itself.
    Failed {
        /// The worker's words.
        message: String,
    },
    /// It was stopped on command.
    Stopped,
    /// Its lease lapsed.
    Lost,
    /// Its worker was restarted: it went with the worker's earlier life.
    Restarted,
}
