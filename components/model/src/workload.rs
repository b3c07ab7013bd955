//! Workloads as operators specify them, and their records in the platform's key-value service.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::{CommandId, DataCentreId, Partition, Resources, Revision, TeamId, WorkloadId};

/// How the tasks of a workload start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Long-running instances that serve requests; an instance that ends is replaced.
    Service,
    /// Independent tasks that run to completion.
    Batch,
    /// Tasks that must all start together and run to completion.
    Gang,
}

/// Scheduling priority: which work starts first, and which may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Must start within seconds; may preempt patient work.
    Urgent,
    /// The default priority.
    Normal,
    /// May be delayed, throttled, checkpointed or preempted, but must not be lost.
    Patient,
}

/// A workload as specified by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workload {
    /// Name, unique in the cell.
    pub name: WorkloadId,
    /// The team whose quota it counts against.
    pub team: TeamId,
    pub kind: Kind,
    pub priority: Priority,
    /// Number of tasks (instances of a service).
    pub instances: u32,
    /// Resources of each task.
    pub each: Resources,
    /// The program to run, passed to the worker unchanged.
    pub run: String,
    /// Expected run time of a task; only a hint.
    pub run_time: Option<Duration>,
}

/// The state that operators want for an accepted workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Run it.
    Run,
    /// Stop all of its tasks and start no more.
    Cancel,
}

/// An accepted workload, as stored in the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub workload: Workload,
    pub intent: Intent,
    /// Id of the command that last wrote the record. If the answer to a write is lost, reading the record back shows
    /// whether the write took effect.
    pub command: CommandId,
    /// Generation of the workload: larger than that of any earlier workload of the same name, even if the record of
    /// that one has been deleted.
    pub life: u32,
    /// Number of tasks per data centre; set on acceptance and only altered by a change command.
    pub shares: BTreeMap<DataCentreId, u32>,
    /// When it was accepted, by the clock of the accepting host.
    pub accepted_at: SystemTime,
}

/// Which tasks of a workload have finished in one data centre, as stored in the platform's key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Generation of the workload, see [`Record::life`].
    pub life: u32,
    /// Finished tasks, as inclusive ranges of their indices.
    pub finished: Vec<(u32, u32)>,
}

impl Progress {
    /// Merges task indices, which must be ascending, into ranges.
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

    /// Indices of the finished tasks, ascending.
    pub fn positions(&self) -> impl Iterator<Item = u32> + '_ {
        self.finished.iter().flat_map(|(first, last)| *first..=*last)
    }
}

/// A record with its revision in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned {
    pub record: Record,
    /// Revision at which the record was last changed.
    pub revision: Revision,
}

/// Splits `count` tasks among data centres.
///
/// Services are spread evenly. Batch workloads and gangs go to `preferred` as a whole, so that all of their tasks have
/// one owner and a gang never depends on the link between data centres.
pub fn split_tasks(
    kind: Kind,
    count: u32,
    data_centres: &[DataCentreId],
    preferred: &DataCentreId,
) -> BTreeMap<DataCentreId, u32> {
    if kind != Kind::Service || data_centres.is_empty() {
        return BTreeMap::from([(preferred.clone(), count)]);
    }
    let centre_count = data_centres.len() as u32;
    let mut shares = BTreeMap::new();
    for (position, name) in data_centres.iter().enumerate() {
        let extra = u32::from((position as u32) < count % centre_count);
        shares.insert(name.clone(), count / centre_count + extra);
    }
    shares
}

/// The partition, in each data centre, that a workload belongs to.
pub fn partition(workload: &str, partitions: Partition) -> Partition {
    // FNV-1a, because the assignment must be the same in every version and on every host.
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in workload.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0100_0000_01b3);
    }
    (hash % u64::from(partitions.max(1))) as Partition
}
