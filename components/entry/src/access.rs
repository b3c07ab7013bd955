//! Authorization of calls: who may make a call, and which jobs it may see.
//!
//! Each call is checked twice: on the host where it arrives, so that calls without a valid key never reach the
//! leader, and by the leader, so that a host with an outdated configuration doesn't admit a key that has been
//! revoked. The newer of the two configurations decides.

use sched::Owner;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use work::key::{Credential, Denial};
use work::{Config, Queue, QueueName, WorkspaceName};

/// Identity of whoever makes a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Caller {
    /// An operator, who may see all jobs.
    Operator,
    /// A client of a queue.
    Client(Client),
}

/// A client of a queue, as identified by the host that received its call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Client {
    pub queue: QueueName,
    /// The credential that came with the call.
    pub key: Credential,
    /// The client's workspace; `None` where the queue is public.
    pub workspace: Option<WorkspaceName>,
    /// Version of the configuration against which the client was checked.
    pub version: u64,
}

/// Why a call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    #[error("there is no such queue")]
    NoQueue,
    /// The credential doesn't grant access to the queue.
    #[error(transparent)]
    Denied(Denial),
}

/// Which jobs a call may see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    All,
    /// The jobs of the workspace, if there is one, and those without a workspace, which were submitted while their
    /// queue was public.
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

    /// Workspace of a job submitted within this scope.
    pub(crate) fn workspace(&self) -> Option<&WorkspaceName> {
        match self {
            Scope::All => None,
            Scope::Only(workspace) => workspace.as_ref(),
        }
    }

    /// Owner of a job submitted within this scope.
    pub(crate) fn owner(&self, queue: QueueName) -> Owner {
        let workspace = self.workspace().cloned();
        Owner { queue, workspace }
    }
}

/// Determines the queue and the workspace of an incoming call.
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

/// Checks a call that this host or another one has already admitted.
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
