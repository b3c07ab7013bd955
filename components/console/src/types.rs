//! What the interface takes and tells, as JSON.

use std::time::Duration;

use model::Resources;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A job to submit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Name of its queue.
    pub queue: String,
    /// Text for the workers.
    #[serde(default)]
    pub specification: String,
    /// Its steps.
    pub steps: Vec<Step>,
}

/// Equal tasks of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each takes of its worker.
    pub need: Resources,
    /// Guess of a task's run time, in milliseconds.
    #[serde(default)]
    pub estimate_ms: u64,
    /// Earlier steps that must be done before.
    #[serde(default)]
    pub after: Vec<u16>,
    /// Whether its tasks run only all together.
    #[serde(default)]
    pub gang: bool,
    /// Whether its tasks save their progress.
    #[serde(default)]
    pub checkpoints: bool,
    /// Label that a worker must have; empty for any.
    #[serde(default)]
    pub label: String,
    /// Rack of its data; empty for none.
    #[serde(default)]
    pub rack: String,
    /// Most of its tasks on one worker; 0 for any number.
    #[serde(default)]
    pub spread: u32,
}

/// A job that was found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// How it stands, and why.
    #[serde(flatten)]
    pub explanation: sched::Explanation,
}

/// A queue of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Its pool of workers.
    pub pool: String,
    /// 0 goes first.
    pub priority: u32,
    /// Accepted jobs none of whose tasks has begun; none while no leader answers.
    pub waiting: Option<usize>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Workspace {
    /// How it stands.
    #[serde(flatten)]
    pub standing: sched::Workspace,
    /// Whether the configuration in force names it. Jobs of one that it doesn't name any more go on.
    pub configured: bool,
    /// Jobs a second that are its share.
    pub weight: f64,
    /// How many keys it has.
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

/// The host that was asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Host {
    /// Its name.
    pub host: String,
    /// Version of the configuration in force here.
    pub config: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
    /// The leader's term.
    pub term: Option<u64>,
}

impl Submission {
    /// The job in the product's types.
    pub(crate) fn job(&self) -> work::Job {
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
