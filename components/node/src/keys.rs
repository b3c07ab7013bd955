//! Keys and encoding of the records in the platform's key-value service.

use model::{CommandId, DataCentreId, Partition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The stored record of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Team {
    /// The most that the team may use in each data centre; `None` means no limit.
    pub(crate) quota: Option<model::Resources>,
    pub(crate) command: CommandId,
}

/// The stored record of a worker that an operator is draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Drain {
    pub(crate) command: CommandId,
}

/// The stored outcome of a command. Lets a client that lost the answer ask for it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Receipt {
    /// Whether the command was executed. If false, it never will be.
    pub(crate) done: bool,
    pub(crate) message: String,
}

/// Prefix of a cell's configuration. Entry hosts watch all keys below it.
pub(crate) fn cell_prefix(cell: &str) -> String {
    format!("/walkhook/{cell}/")
}

/// Key of a command's receipt. It is outside the watched prefix because other hosts don't need it.
pub(crate) fn receipt_key(cell: &str, command: CommandId) -> String {
    format!("/walkhook-commands/{cell}/{command}")
}

/// A parsed key below the cell's prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordKey {
    Workload(String),
    Progress(DataCentreId, String),
    Claim(DataCentreId, Partition),
    Team(String),
    Drain(String),
}

impl RecordKey {
    /// The key, relative to the cell's prefix.
    pub(crate) fn key(&self) -> String {
        match self {
            RecordKey::Workload(name) => format!("workload/{name}"),
            RecordKey::Progress(data_centre, name) => format!("progress/{data_centre}/{name}"),
            RecordKey::Claim(data_centre, partition) => format!("claim/{data_centre}/{partition}"),
            RecordKey::Team(name) => format!("team/{name}"),
            RecordKey::Drain(worker) => format!("drain/{worker}"),
        }
    }

    /// Parses a key that is relative to the cell's prefix; `None` if this version does not know its kind.
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
    // Can't fail: the records contain no map keys or numbers that JSON can't represent.
    serde_json::to_vec(value).unwrap_or_default()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
