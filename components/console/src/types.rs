//! JSON bodies of requests and responses.

use std::time::Duration;

use model::Resources;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A job to submit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Name of the queue.
    pub queue: String,
    /// Text that is passed to the workers.
    #[serde(default)]
    pub specification: String,
    /// The steps of the job.
    #[serde(deserialize_with = "work::bounded::steps")]
    pub steps: Vec<Step>,
}

/// A step of a job: a number of equal tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Estimated run time of a task, in milliseconds.
    #[serde(default)]
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    #[serde(default, deserialize_with = "work::bounded::steps")]
    pub after: Vec<u16>,
    /// Whether the tasks run only all at once.
    #[serde(default)]
    pub gang: bool,
    /// Whether the tasks save their progress.
    #[serde(default)]
    pub checkpoints: bool,
    /// Label that a worker must have; empty for any.
    #[serde(default)]
    pub label: String,
    /// Rack that holds the data; empty for none.
    #[serde(default)]
    pub rack: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(default)]
    pub spread: u32,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Job {
    /// Job id: 16 hexadecimal digits.
    pub id: String,
    /// State of the job and the reasons for it.
    #[serde(flatten)]
    pub explanation: sched::Explanation,
}

/// A queue of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Pool of workers that the queue uses.
    pub pool: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Accepted jobs none of whose tasks has started; `null` while no leader responds.
    pub waiting: Option<usize>,
}

/// State of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Workspace {
    /// Limits, usage and waiting work.
    #[serde(flatten)]
    pub standing: sched::Workspace,
    /// Whether the configuration in force has the workspace. Jobs of a removed workspace go on.
    pub configured: bool,
    /// The workspace's share, in jobs per second.
    pub weight: f64,
    /// Number of API keys.
    pub keys: usize,
}

impl Workspace {
    pub(crate) fn new(standing: sched::Workspace, config: &work::Config) -> Workspace {
        let configured = config.workspace(&standing.name);
        Workspace {
            configured: configured.is_some(),
            weight: configured.map_or(0.0, |workspace| workspace.weight),
            keys: configured.map_or(0, |workspace| workspace.keys.len()),
            standing,
        }
    }
}

/// State of the host that answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Version of the configuration in force on this host.
    pub config: u64,
    /// The leader, as far as this host knows.
    pub leader: Option<String>,
    /// The leader's term.
    pub term: Option<u64>,
}

impl Submission {
    /// Converts the submission to the job type of the scheduler.
    pub(crate) fn to_job(&self) -> work::Job {
        let steps = self.steps.iter().map(|step| work::Step {
            count: step.count,
            need: step.need,
            estimate: Duration::from_millis(step.estimate_ms),
            after: step.after.clone(),
            gang: step.gang,
            checkpoints: step.checkpoints,
            label: step.label.clone(),
            rack: step.rack.clone(),
            max_per_worker: step.spread,
            ..work::Step::default()
        });
        work::Job { specification: self.specification.clone(), steps: steps.collect(), schedule: None }
    }
}
