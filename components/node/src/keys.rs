//! Where records stand in the platform's key-value service, and how they are read and written.

use model::{CommandId, DataCentreId, Partition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A quota of a team, as it is kept by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Team {
    /// Most resources in each data centre; `None` for no limit.
    pub(crate) quota: Option<model::Resources>,
    pub(crate) command: CommandId,
}

/// A worker that operators empty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Drain {
    pub(crate) command: CommandId,
}

/// What is kept of a command that was settled, so that a lost answer can be asked after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Receipt {
    /// False when the command can never be carried out any more.
    pub(crate) done: bool,
    pub(crate) message: String,
}

/// Prefix of the configuration of a cell; everything below it is watched.
pub(crate) fn cell_prefix(cell: &str) -> String {
    format!("/walkhook/{cell}/")
}

/// Key of a command's receipt. Not below the watched prefix: other hosts have no use for it.
pub(crate) fn receipt_key(cell: &str, command: CommandId) -> String {
    format!("/walkhook-commands/{cell}/{command}")
}

/// What a key below the prefix stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordKey {
    Workload(String),
    Progress(DataCentreId, String),
    Claim(DataCentreId, Partition),
    Team(String),
    Drain(String),
}

impl RecordKey {
    /// The key, below the cell's prefix.
    pub(crate) fn key(&self) -> String {
        match self {
            RecordKey::Workload(name) => format!("workload/{name}"),
            RecordKey::Progress(data_centre, name) => format!("progress/{data_centre}/{name}"),
            RecordKey::Claim(data_centre, partition) => format!("claim/{data_centre}/{partition}"),
            RecordKey::Team(name) => format!("team/{name}"),
            RecordKey::Drain(worker) => format!("drain/{worker}"),
        }
    }

    /// The place of a key; `None` for a key that this version does not know.
    pub(crate) fn parse(key: &str) -> Option<RecordKey> {
        let mut parts = key.split('/');
        let record_key = match (parts.next()?, parts.next()?, parts.next()) {
            ("workload", name, None) => RecordKey::Workload(name.to_owned()),
            ("team", name, None) => RecordKey::Team(name.to_owned()),
            ("drain", worker, None) => RecordKey::Drain(worker.to_owned()),
            ("progress", data_centre, Some(name)) => RecordKey::Progress(data_centre.to_owned(), name.to_owned()),
            ("claim", data_centre, Some(partition)) => {
                RecordKey::Claim(data_centre.to_owned(), partition.parse().ok()?)
            }
            _ => return None,
        };
        Some(record_key)
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // The records have no map keys or numbers that JSON can't carry.
    serde_json::to_vec(value).unwrap_or_default()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
