//! Parsed statements.

use std::fmt;

use model::{Revision, TeamId, WorkerId, WorkloadId};

/// A statement of the language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Submit all workloads of a plan file.
    Submit {
        /// Path of the file on the operator's machine.
        plan: String,
    },
    /// Change fields of a workload or team.
    Change {
        /// What to change.
        subject: Subject,
        /// Fields and their new values.
        set: Vec<Assignment>,
        /// Apply only if the record still has this revision.
        revision: Option<Revision>,
    },
    /// Move all tasks off a worker and give it no new ones.
    Drain {
        /// The worker.
        worker: WorkerId,
    },
    /// End a drain.
    Restore {
        /// The worker.
        worker: WorkerId,
    },
    /// Stop a workload for good.
    Cancel {
        /// The workload.
        workload: WorkloadId,
        /// Apply only if the record still has this revision.
        revision: Option<Revision>,
    },
    /// Show a table.
    Show {
        /// The table to show.
        topic: Topic,
        /// Conditions that each shown row meets.
        conditions: Vec<Condition>,
        /// Maximum number of rows.
        limit: Option<u64>,
    },
    /// Explain the state of a task, workload or worker.
    Why {
        /// What to explain.
        subject: Subject,
    },
}

impl Statement {
    /// Whether the statement changes something.
    pub fn is_command(&self) -> bool {
        !matches!(self, Statement::Show { .. } | Statement::Why { .. })
    }
}

/// What a statement is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A workload.
    Workload(WorkloadId),
    /// A team.
    Team(TeamId),
    /// A task, by name.
    Task(String),
    /// A worker.
    Worker(WorkerId),
}

/// A table that can be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Tasks and where they run.
    Tasks,
    /// Workers and their free resources.
    Workers,
    /// Accepted workloads.
    Workloads,
    /// Teams with their quotas and usage.
    Teams,
    /// Entry hosts.
    Hosts,
    /// Classes of requests and their statistics.
    Requests,
    /// Records of the configuration.
    Configuration,
}

impl fmt::Display for Topic {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Topic::Tasks => "tasks",
            Topic::Workers => "workers",
            Topic::Workloads => "workloads",
            Topic::Teams => "teams",
            Topic::Hosts => "hosts",
            Topic::Requests => "requests",
            Topic::Configuration => "configuration",
        })
    }
}

/// A new value for a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    pub field: String,
    pub value: String,
}

/// Comparison operator. Two numbers compare by value, anything else as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
}

/// A condition on a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Name of the column.
    pub field: String,
    pub operator: Operator,
    /// Value to compare the cell with.
    pub value: String,
}
