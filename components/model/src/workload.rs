//! What operators ask for, and the accepted record of it in the platform's key-value service.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::{CommandId, DataCentreId, Partition, Resources, Revision, TeamId, WorkloadId};

/// How the tasks of a workload live and start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Long-lived instances that answer callers; each one is replaced when it ends.
    Service,
    /// Tasks that run to their end, each on its own.
    Batch,
    /// Tasks that must all start together, and run to their end.
    Gang,
}

/// Which work goes first, and which may be stopped for other work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Must start within seconds; may stop patient work.
    Urgent,
    /// The ordinary order.
    Normal,
    /// May wait, may be throttled, checkpointed or stopped, and must not go missing.
    Patient,
}

/// What an operator states about a workload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workload {
    /// Unique name in the cell.
    pub name: WorkloadId,
    /// The team that it counts for.
    pub team: TeamId,
    /// How its tasks live and start.
    pub kind: Kind,
    /// Its place in the order.
    pub priority: Priority,
    /// Number of tasks (instances of a service).
    pub instances: u32,
    /// What each task needs.
    pub each: Resources,
    /// The program that a worker runs, in the workers' own terms.
    pub run: String,
    /// Declared run time of a task; only a hint.
    pub run_time: Option<Duration>,
}

/// What the operators want with an accepted workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Run it.
    Run,
    /// Stop its tasks; never start one again.
    Cancel,
}

/// An accepted workload, as it is kept in the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What was asked for.
    pub workload: Workload,
    /// What the operators want now.
    pub intent: Intent,
    /// The command that last changed the record; settles a lost answer by reading back.
    pub command: CommandId,
    /// Tells this workload from an earlier one with the same name; larger than any before, also when the record
    /// of that one was removed.
    pub life: u32,
    /// Tasks of each data centre; decided once, at acceptance or by a change.
    pub shares: BTreeMap<DataCentreId, u32>,
    /// When it was accepted, by the clock of the host that accepted it.
    pub accepted_at: SystemTime,
}

/// Which tasks of a share have finished, as it is kept in the platform's key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Life of the workload that this is about.
    pub life: u32,
    /// Finished tasks, as ranges of their positions, both ends included.
    pub finished: Vec<(u32, u32)>,
}

impl Progress {
    /// Collects positions, in growing order, into ranges.
    pub fn new(life: u32, positions: impl IntoIterator<Item = u32>) -> Progress {
        let mut finished: Vec<(u32, u32)> = Vec::new();
        for position in positions {
            match finished.last_mut() {
                Some((_, last)) if *last + 1 == position => *last = position,
                _ => finished.push((position, position)),
            }
        }
        Progress { life, finished }
    }

    /// The positions, in growing order.
    pub fn positions(&self) -> impl Iterator<Item = u32> + '_ {
        self.finished.iter().flat_map(|(first, last)| *first..=*last)
    }
}

/// A record together with the platform's revision of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    /// The record.
    pub record: Record,
    /// The revision at which the platform last changed it.
    pub revision: Revision,
}

/// Divides `count` tasks among the data centres.
///
/// Services are spread evenly. Batch runs and gangs go whole to `preferred`, so that their tasks stand
/// under one owner and a gang never waits for a link between data centres.
pub fn split_tasks(
    kind: Kind,
    count: u32,
    data_centres: &[DataCentreId],
    preferred: &DataCentreId,
) -> BTreeMap<DataCentreId, u32> {
    if kind != Kind::Service || data_centres.is_empty() {
        return BTreeMap::from([(preferred.clone(), count)]);
    }
    let places = data_centres.len() as u32;
    let mut shares = BTreeMap::new();
    for (position, name) in data_centres.iter().enumerate() {
        let extra = u32::from((position as u32) < count % places);
        shares.insert(name.clone(), count / places + extra);
    }
    shares
}

/// The partition of a data centre that a workload's share belongs to.
pub fn partition(workload: &str, partitions: Partition) -> Partition {
    // FNV-1a: the assignment must be the same in every version and on every host.
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in workload.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0100_0000_01b3);
    }
    (hash % u64::from(partitions.max(1))) as Partition
}
