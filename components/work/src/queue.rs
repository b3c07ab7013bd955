//! Queues of the configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::QueueName;

/// A queue for jobs, as the operator configures it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Host name by which callers address it.
    pub host: String,
    /// Path prefix by which callers address it.
    pub prefix: String,
    /// Pool of workers that runs its tasks.
    pub pool: String,
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the objective on a job's longest chain of work.
    pub stretch: f64,
    /// Part of the objective that doesn't depend on the work.
    pub objective: Duration,
    /// How long the adviser takes, for a queue whose steps run only on workers that it names.
    pub advice: Option<Advice>,
}

/// Times of the service that knows which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Time for each question.
    pub base: Duration,
    /// Time more for each worker that a question names.
    pub per_worker: Duration,
    /// How long a ticket holds.
    pub validity: Duration,
}

/// The operator's configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// Longest body of a request, in bytes; 0 before there is a configuration.
    pub max_body: usize,
}

impl Config {
    /// The queue for a request: its host, and the longest prefix that its path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
