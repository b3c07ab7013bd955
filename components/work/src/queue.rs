//! The operator's configuration: queues, and the workspaces whose callers use them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::Resources;
use serde::{Deserialize, Serialize};

use crate::key::{Credential, Denial, Digest};
use crate::{QueueName, WorkspaceName};

/// A queue for jobs, as the operator configures it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Host name by which callers address it.
    pub host: String,
    /// Path prefix by which callers address it.
    pub prefix: String,
    /// Whether callers need no key.
    pub public: bool,
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

/// A team that shares the cell with others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Digests of its keys.
    pub keys: Vec<Digest>,
    /// Jobs a second that are its share.
    pub weight: f64,
    /// The most that may run for it at once; 0 in a dimension stands for any amount.
    pub limit: Resources,
}

/// What hosts pass on of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Content {
    version: u64,
    queues: Vec<Queue>,
    max_body: usize,
    workspaces: Vec<Workspace>,
}

/// The operator's configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Content", into = "Content")]
pub struct Config {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
    /// Longest body of a request, in bytes; 0 before there is a configuration.
    pub max_body: usize,
    /// All workspaces.
    pub workspaces: Vec<Workspace>,
    /// Where queues stand, by host in lower case and by prefix: looking through all of them would cost each request.
    queues_by_prefix: HashMap<String, HashMap<String, usize>>,
    /// Lengths of the prefixes of each host, the longest first.
    prefix_lengths: HashMap<String, Vec<usize>>,
    /// Where queues stand, by name.
    queues_by_name: HashMap<QueueName, usize>,
    /// Where the workspaces of keys stand.
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
    /// A configuration without workspaces.
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

    /// The same with these workspaces. A key that several of them have opens nothing.
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

    /// Workspaces of which a key opens nothing, since another one has it, too.
    pub fn workspaces_with_duplicate_keys(&self) -> impl Iterator<Item = &WorkspaceName> {
        let duplicates =
            |workspace: &&Workspace| workspace.keys.iter().any(|key| !self.workspaces_by_key.contains_key(key));
        self.workspaces.iter().filter(duplicates).map(|workspace| &workspace.name)
    }

    /// The queue for a request: its host, and the longest prefix that its path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.to_ascii_lowercase();
        let prefixes = self.queues_by_prefix.get(&host)?;
        let lengths = self.prefix_lengths.get(&host)?;
        let found = lengths.iter().find_map(|length| prefixes.get(path.get(..*length)?))?;
        self.queues.get(*found)
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(*self.queues_by_name.get(name)?)
    }

    /// The workspace of a name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.name == name)
    }

    /// The workspace for which a call of a queue is made. A public queue needs no key, but one that is brought tells whose the call
    /// is: jobs of a queue that has become public stay with their workspaces.
    pub fn admit(&self, queue: &Queue, key: Credential) -> Result<Option<&Workspace>, Denial> {
        let found = match key {
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

    /// The workspace that has a key.
    fn workspace_by_key(&self, key: Digest) -> Option<&Workspace> {
        self.workspaces.get(*self.workspaces_by_key.get(&key)?)
    }
}
