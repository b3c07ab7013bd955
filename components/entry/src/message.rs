//! Messages between entry hosts.

use std::time::Duration;

use admission::Forecast;
use sched::{Excess, Explanation, Workspace};
use serde::{Deserialize, Deserializer, Serialize};
use work::{Config, Job, JobId, QueueName, State, Term, Unit, WorkerId};

use crate::access::{Caller, Refusal};
use crate::predecessors::Predecessors;

/// The leader, as named by its record in the store and by its followers' messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    pub host: String,
    /// Unique id of the leader's process.
    pub incarnation: u64,
    /// Address on which it accepts links.
    pub address: String,
    pub term: Term,
}

/// A host's response to a ping.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alive {
    /// The leader that the host knows, if any.
    pub leader: Option<Leader>,
    /// Version of its configuration.
    pub config: u64,
    /// Time since that configuration was last known to be the newest.
    pub config_age: Duration,
    /// Time since the host was last certain to be the leader; `None` if it isn't the leader.
    pub unconfirmed_for: Option<Duration>,
    /// The largest number of hosts known to have followed a leader.
    pub followers: u32,
    /// Whether the host is a leader that is cut off from most hosts and the store.
    ///
    /// Hosts of earlier versions end the message before this field and the next one, so they must remain the last ones.
    #[serde(deserialize_with = "or_default")]
    pub isolated: bool,
    /// The leader's forecast for new jobs; `None` if the host isn't the leader, or accepts jobs whatever the load is.
    #[serde(deserialize_with = "or_default")]
    pub forecast: Option<Forecast>,
}

/// Reads a field, or takes its default if the message ends before it.
pub(crate) fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(source: D) -> Result<T, D::Error> {
    Ok(T::deserialize(source).unwrap_or_default())
}

/// A call from one entry host to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Registers a follower and asks whether the receiver is the leader.
    Hello {
        /// Name of the follower's host.
        host: String,
        /// Address on which it accepts links.
        address: String,
        /// Whether it neither leads nor claims, which means that any earlier leadership of it has ended.
        idle: bool,
        /// The host that it takes for the leader.
        leader: Leader,
        /// How long it waits before it claims leadership; longer for weaker hosts.
        claim_delay: Duration,
        /// Its memory for accepted jobs, in bytes. Earlier versions end the message before this field.
        #[serde(deserialize_with = "or_default")]
        job_memory: Option<usize>,
    },
    /// A follower asks whether the leader is alive and still leads.
    Ping,
    /// The leader asks whether the follower can reach the store.
    Probe,
    /// The leader, which has ended, asks the follower to replace it.
    TakeOver {
        /// Revision of the leader's record.
        record_revision: u64,
        /// Leaders before it that may still be active. Earlier versions end the message before this field.
        #[serde(deserialize_with = "or_default")]
        predecessors: Predecessors,
    },
    /// A follower finds no leader's record in the store.
    Missing,
    /// A newer leader is known.
    Newer(Leader),
    /// Submits a job.
    Submit {
        caller: Caller,
        queue: QueueName,
        id: JobId,
        job: Box<Job>,
        /// How long the caller waits for the response.
        wait: Duration,
    },
    /// Reads the state of a job.
    State { caller: Caller, id: JobId },
    /// Cancels a job.
    Cancel {
        caller: Caller,
        id: JobId,
        /// How long the caller waits for the response.
        wait: Duration,
    },
    /// Explains the current state of a job.
    Explain { id: JobId },
    /// Reads the state of all workspaces.
    Workspaces,
    /// Counts the waiting jobs of a queue, over all workspaces.
    Waiting { caller: Caller, queue: QueueName },
    /// The leader asks a follower to query the advice service.
    Advise {
        unit: Unit,
        /// Candidate workers.
        workers: Vec<WorkerId>,
    },
    /// The newest configuration that the sender knows.
    Config(Config),
    /// Asks for the newest configuration that the receiver knows.
    FetchConfig,
}

impl Call {
    /// Version of the configuration by which the host that received the call admitted it; `None` for calls that aren't
    /// a client's.
    pub(crate) fn admitted_by(&self) -> Option<u64> {
        match self {
            Call::Submit { caller: Caller::Client(client), .. }
            | Call::State { caller: Caller::Client(client), .. }
            | Call::Cancel { caller: Caller::Client(client), .. }
            | Call::Waiting { caller: Caller::Client(client), .. } => Some(client.version),
            _ => None,
        }
    }
}

/// Response to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The call was carried out.
    Done,
    /// Response to a ping.
    Alive(Alive),
    /// The newest configuration that the host knows.
    Config(Config),
    /// The call isn't authorized, according to a configuration at least as new as that of the host that received it;
    /// nothing was done.
    NotAdmitted(Refusal),
    /// Another workspace has a job with this id; nothing was done.
    IdTaken,
    /// The job can never run within its workspace's limit; it was not accepted.
    Excessive(Excess),
    /// This host isn't the leader, or isn't certain to be; nothing was done.
    NotLeader,
    /// The job is accepted and persisted.
    Accepted,
    /// The job was not accepted and won't run; the caller may retry after this time.
    Refused(Duration),
    /// It is unknown whether the call was carried out.
    Unknown,
    /// A job's state; `None` if there is no such job.
    State(Option<State>),
    /// Whether the job exists; it is cancelled, or had already ended.
    Cancelled(bool),
    /// Explanation of a job's state; `None` if there is no such job.
    Explanation(Option<Explanation>),
    /// State of all workspaces, by name.
    Workspaces(Vec<Workspace>),
    /// Number of waiting jobs.
    Waiting(usize),
    /// Workers that may run a step, with their tickets; `None` if the advice service didn't answer.
    Advice(Option<Vec<(WorkerId, String)>>),
    /// The record of the job may have more bytes than a value in the store; it was not accepted.
    TooLarge { size: usize, limit: usize },
}
