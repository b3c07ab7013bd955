//! Who may make a call, and what it may see.
//!
//! A call is judged twice: where it arrives, so that one without a valid key costs the leader nothing, and by the leader, so that a
//! host that is behind lets nobody in whose key another one knows to be gone. The newer of the two configurations decides.

use sched::Owner;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use work::key::{Credential, Denial};
use work::{Config, Queue, QueueName, WorkspaceName};

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// An operator, who may see all jobs.
    Operator,
    /// A caller of a queue.
    Client(Client),
}

/// A caller of a queue, as the host found that took its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Client {
    /// The queue.
    pub queue: QueueName,
    /// What it brought.
    pub key: Credential,
    /// Its workspace; none where the queue is public.
    pub workspace: Option<WorkspaceName>,
    /// Version of the configuration by which this was found.
    pub version: u64,
}

/// Why a call isn't let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// There is no such queue.
    #[error("there is no such queue")]
    NoQueue,
    /// Its key doesn't open the queue.
    #[error(transparent)]
    Denied(Denial),
}

/// Which jobs a call may see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// All.
    All,
    /// Those of a workspace, if it is of one, and those that are of none: their queues were public when they came.
    Only(Option<WorkspaceName>),
}

impl Scope {
    /// Whether a job of this workspace may be seen.
    pub(crate) fn allows(&self, workspace: Option<&WorkspaceName>) -> bool {
        match self {
            Scope::All => true,
            Scope::Only(own) => workspace.is_none() || own.as_ref() == workspace,
        }
    }

    /// Where a job that is submitted belongs.
    pub(crate) fn owner(self, queue: QueueName) -> Owner {
        let workspace = match self {
            Scope::All => None,
            Scope::Only(workspace) => workspace,
        };
        Owner { queue, workspace }
    }
}

/// Finds the queue and the workspace of a call that arrives.
pub(crate) fn admit<'a>(
    config: &'a Config,
    name: &str,
    path: &str,
    key: Credential,
) -> Result<(&'a Queue, Client), Refusal> {
    let queue = config.route(name, path).ok_or(Refusal::NoQueue)?;
    let workspace = config.admit(queue, key).map_err(Refusal::Denied)?.map(|workspace| workspace.name.clone());
    Ok((queue, Client { queue: queue.name.clone(), key, workspace, version: config.version }))
}

/// Judges a call that another host, or this one, has let in.
pub(crate) fn authorize(config: &Config, caller: Caller) -> Result<Scope, Refusal> {
    let client = match caller {
        Caller::Operator => return Ok(Scope::All),
        Caller::Client(client) => client,
    };
    if client.version > config.version {
        return Ok(Scope::Only(client.workspace));
    }
    let queue = config.queue(&client.queue).ok_or(Refusal::NoQueue)?;
    let workspace = config.admit(queue, client.key).map_err(Refusal::Denied)?;
    Ok(Scope::Only(workspace.map(|workspace| workspace.name.clone())))
}
