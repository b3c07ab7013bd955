//! Bodies of the operators' interface.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// A statement to carry out.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Command {
    /// The statement, in the query and command language.
    pub statement: String,
    /// Unique id, chosen by the client. A command with an id that was carried out already is not carried out
    /// again: its first outcome is returned.
    pub command: Uuid,
    /// Text of the plan file that a `submit` names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<String>,
}

/// How a statement went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Carried out, and durable.
    Done,
    /// Surely not carried out.
    NotDone,
    /// Not known yet: ask again by the command's id.
    Unknown,
}

/// A table of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Rows {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

/// The outcome of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Outcome {
    /// How it went.
    pub status: Status,
    /// In words, for the person at the terminal.
    pub message: String,
    /// Revision of the configuration that has the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// When to try again, in milliseconds, where that helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// What was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Rows>,
}

impl Outcome {
    /// Carried out.
    pub fn done(message: impl Into<String>) -> Outcome {
        Outcome { status: Status::Done, message: message.into(), revision: None, retry_after_ms: None, table: None }
    }

    /// Surely not carried out.
    pub fn not_done(message: impl Into<String>) -> Outcome {
        Outcome { status: Status::NotDone, ..Outcome::done(message) }
    }

    /// Not known yet.
    pub fn unknown(message: impl Into<String>) -> Outcome {
        Outcome { status: Status::Unknown, ..Outcome::done(message) }
    }
}

/// How this entry host stands.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Health {
    /// Its name.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes new work.
    pub serving: bool,
    /// Revision of the configuration in force here.
    pub revision: u64,
    /// Whether the platform answered lately.
    pub platform: bool,
}
