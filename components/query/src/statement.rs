//! What a statement says.

use std::fmt;

use model::{Revision, TeamId, WorkerId, WorkloadId};

/// One statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Submit all workloads of a plan file.
    Submit {
        /// Path of the file, at the operator's side.
        plan: String,
    },
    /// Change fields of a workload or team.
    Change {
        /// What to change.
        subject: Subject,
        /// Fields and their new values.
        set: Vec<Assignment>,
        /// Only when the record still has this revision.
        revision: Option<Revision>,
    },
    /// Empty a worker and give it nothing new.
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
        /// Only when the record still has this revision.
        revision: Option<Revision>,
    },
    /// Show a table.
    Show {
        /// Which one.
        topic: Topic,
        /// All must hold.
        conditions: Vec<Condition>,
        /// Most rows.
        limit: Option<u64>,
    },
    /// Say why something stands where it stands.
    Why {
        /// What is asked about.
        subject: Subject,
    },
}

impl Statement {
    /// Whether it changes something.
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
    /// A task, by its name.
    Task(String),
    /// A worker.
    Worker(WorkerId),
}

/// A table that can be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Tasks and where they run.
    Tasks,
    /// Workers and what is free there.
    Workers,
    /// Accepted workloads.
    Workloads,
    /// Teams with their quotas and use.
    Teams,
    /// Entry hosts.
    Hosts,
    /// Classes of requests and how they fare.
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

/// A field and its new value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The field.
    pub field: String,
    /// Its value.
    pub value: String,
}

/// How a condition compares. Numbers compare as numbers, anything else as text.
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
    /// Name of a column.
    pub field: String,
    /// How to compare.
    pub operator: Operator,
    /// What with.
    pub value: String,
}
