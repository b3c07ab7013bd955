//! Request and response bodies of the API.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// A statement to execute.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Command {
    /// The statement, in the query and command language.
    pub statement: String,
    /// Unique id, chosen by the client. A command whose id was already executed is not executed again; its first
    /// outcome is returned.
    pub command: Uuid,
    /// Contents of the plan file that a `submit` statement names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<String>,
}

/// Whether a statement was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Executed, and durable.
    Done,
    /// Definitely not executed.
    NotDone,
    /// Not known yet; query the outcome again by the command's id.
    Unknown,
}

/// A table in an outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Rows {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

/// The outcome of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Outcome {
    /// Whether the statement was executed.
    pub status: Status,
    /// Message for the operator.
    pub message: String,
    /// Revision of the configuration that contains the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The table that the statement asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Rows>,
}

impl Outcome {
    /// Creates the outcome of an executed statement.
    pub fn done(message: impl Into<String>) -> Outcome {
        Outcome { status: Status::Done, message: message.into(), revision: None, retry_after_ms: None, table: None }
    }

    /// Creates the outcome of a statement that was definitely not executed.
    pub fn not_done(message: impl Into<String>) -> Outcome {
        Outcome { status: Status::NotDone, ..Outcome::done(message) }
    }

    /// Creates the outcome of a statement whose effect is not known yet.
    pub fn unknown(message: impl Into<String>) -> Outcome {
        Outcome { status: Status::Unknown, ..Outcome::done(message) }
    }
}

/// State of an entry host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Health {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Whether the host accepts new work.
    pub serving: bool,
    /// Revision of the configuration in force on the host.
    pub revision: u64,
    /// Whether the platform responded recently.
    pub platform: bool,
}
