//! The operator's configuration: queues, and the workspaces whose callers submit jobs to them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::Resources;
use serde::{Deserialize, Serialize};

use crate::key::{Credential, Denial, Digest};
use crate::{QueueName, WorkspaceName};

/// A job queue, as the operator configures it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    pub name: QueueName,
    /// Host name under which callers reach the queue.
    pub host: String,
    /// Path prefix under which callers reach the queue.
    pub prefix: String,
    /// Whether callers may use the queue without an API key.
    pub public: bool,
    /// Worker pool that runs the queue's tasks.
    pub pool: String,
    /// Queues with lower numbers are scheduled first; 0 is the highest priority.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Multiplier of a job's critical path length in its latency objective.
    pub stretch: f64,
    /// Constant part of a job's latency objective, independent of its work.
    pub objective: Duration,
    /// Timing of the advice service; set for a queue whose steps may only run on workers that the service permits.
    pub advice: Option<Advice>,
}

/// Timing of the advice service, which decides which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Fixed response time of a query.
    pub base: Duration,
    /// Additional response time for each worker named in the query.
    pub per_worker: Duration,
    /// How long a ticket from the service is valid.
    pub validity: Duration,
}

/// A team that shares the cell with other teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: WorkspaceName,
    /// Digests of the workspace's API keys.
    pub keys: Vec<Digest>,
    /// Share of the cell, in jobs per second.
    pub weight: f64,
    /// Resources that the workspace's running tasks may use in total; 0 in a dimension means no limit.
    pub limit: Resources,
}

/// Serialized form of [`Config`], as hosts exchange it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Content {
    version: u64,
    queues: Vec<Queue>,
    max_body: usize,
    workspaces: Vec<Workspace>,
}

/// The operator's configuration with lookup indexes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Content", into = "Content")]
pub struct Config {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    pub queues: Vec<Queue>,
    /// Maximum size of a request body, in bytes; 0 before a configuration is known.
    pub max_body: usize,
    pub workspaces: Vec<Workspace>,
    /// Positions of queues by lower-case host and by prefix, which saves each request a scan over all queues.
    queues_by_prefix: HashMap<String, HashMap<String, usize>>,
    /// Lengths of the prefixes of each host, longest first.
    prefix_lengths: HashMap<String, Vec<usize>>,
    /// Positions of queues by name.
    queues_by_name: HashMap<QueueName, usize>,
    /// Positions of workspaces by key. Keys that several workspaces have are left out.
    workspaces_by_key: HashMap<Digest, usize>,
}

impl From<Content> for Config {
    fn from(content: Content) -> Config {
        Config::new(content.version, content.queues, content.max_body).with_workspaces(content.workspaces)
    }
}

impl From<Config> for Content {
    fn from(config: Config) -> Content {
        let Config { version, queues, max_body, workspaces, .. } = config;
        Content { version, queues, max_body, workspaces }
    }
}

impl Config {
    /// Creates a configuration without workspaces.
    pub fn new(version: u64, queues: Vec<Queue>, max_body: usize) -> Config {
        let mut config = Config { version, max_body, ..Config::default() };
        for (index, queue) in queues.iter().enumerate() {
            let host = queue.host.to_ascii_lowercase();
            config.prefix_lengths.entry(host.clone()).or_default().push(queue.prefix.len());
            config.queues_by_prefix.entry(host).or_default().entry(queue.prefix.clone()).or_insert(index);
            config.queues_by_name.entry(queue.name.clone()).or_insert(index);
        }
        for lengths in config.prefix_lengths.values_mut() {
            lengths.sort_unstable_by(|a, b| b.cmp(a));
            lengths.dedup();
        }
        Config { queues, ..config }
    }

    /// Replaces the workspaces. A key that several workspaces have is rejected for all of them.
    pub fn with_workspaces(self, workspaces: Vec<Workspace>) -> Config {
        let mut workspaces_by_key = HashMap::new();
        let mut duplicates = HashSet::new();
        for (index, workspace) in workspaces.iter().enumerate() {
            for key in &workspace.keys {
                if workspaces_by_key.insert(*key, index).is_some_and(|other| other != index) {
                    duplicates.insert(*key);
                }
            }
        }
        workspaces_by_key.retain(|key, _| !duplicates.contains(key));
        Config { workspaces, workspaces_by_key, ..self }
    }

    /// Names of workspaces with a key that is rejected because another workspace has it, too.
    pub fn workspaces_with_duplicate_keys(&self) -> impl Iterator<Item = &WorkspaceName> {
        let has_duplicate =
            |workspace: &&Workspace| workspace.keys.iter().any(|key| !self.workspaces_by_key.contains_key(key));
        self.workspaces.iter().filter(has_duplicate).map(|workspace| &workspace.name)
    }

    /// Finds the queue of a request: the one of its host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.to_ascii_lowercase();
        let prefixes = self.queues_by_prefix.get(&host)?;
        let lengths = self.prefix_lengths.get(&host)?;
        let found = lengths.iter().find_map(|length| prefixes.get(path.get(..*length)?))?;
        self.queues.get(*found)
    }

    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(*self.queues_by_name.get(name)?)
    }

    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.name == name)
    }

    /// Authenticates a call to a queue and returns its workspace. A public queue needs no key, but a valid one still assigns the
    /// call to its workspace: jobs of a queue that has become public stay with their workspaces.
    ///
    /// # Errors
    ///
    /// Fails if the queue isn't public and the credential is missing, malformed or belongs to no single workspace.
    pub fn admit(&self, queue: &Queue, credential: Credential) -> Result<Option<&Workspace>, Denial> {
        let found = match credential {
            Credential::Nothing => Err(Denial::Missing),
            Credential::Malformed => Err(Denial::Malformed),
            Credential::Key(digest) => self.workspace_by_key(digest).ok_or(Denial::Unknown),
        };
        match found {
            Ok(workspace) => Ok(Some(workspace)),
            Err(_) if queue.public => Ok(None),
            Err(denial) => Err(denial),
        }
    }

    fn workspace_by_key(&self, key: Digest) -> Option<&Workspace> {
        self.workspaces.get(*self.workspaces_by_key.get(&key)?)
    }
}
