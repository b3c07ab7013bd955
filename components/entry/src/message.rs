//! What entry hosts say to each other.

use std::time::Duration;

use sched::{Excess, Explanation, Workspace};
use serde::{Deserialize, Serialize};
use work::{Config, Job, JobId, QueueName, State, Term, Unit, WorkerId};

use crate::access::{Caller, Refusal};

/// The leader, as its record in the store and its followers' messages name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// Name of its host.
    pub host: String,
    /// Life of its process.
    pub incarnation: u64,
    /// Where it takes links.
    pub address: String,
    /// Its term.
    pub term: Term,
}

/// What a host says of itself when it is asked for a sign of life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Alive {
    /// The leader that it knows, if any.
    pub leader: Option<Leader>,
    /// Version of its configuration.
    pub config: u64,
    /// How long ago that was known to be the newest.
    pub config_age: Duration,
    /// How long ago it was certain that this host leads; `None` when it doesn't.
    pub unconfirmed_for: Option<Duration>,
    /// The most hosts that are known to have followed a leader.
    pub followers: u32,
}

/// A call from one entry host to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// A follower makes itself known, and asks whether this is the leader.
    Hello {
        /// Its host.
        host: String,
        /// Where it takes links itself.
        address: String,
        /// Whether it neither leads nor claims: an earlier reign of it is over.
        idle: bool,
        /// Whom it takes for the leader.
        leader: Leader,
        /// How long it waits before it claims: the weaker a host, the longer.
        claim_delay: Duration,
    },
    /// A follower asks whether the leader still is there, and leads.
    Ping,
    /// The leader asks whether the store answers this host.
    Probe,
    /// The leader asks this host to replace it; the revision is that of the leader's record.
    TakeOver(u64),
    /// A follower sees no leader in the store.
    Missing,
    /// A newer leader is known.
    Newer(Leader),
    /// A caller's job.
    Submit {
        /// Who makes the call.
        caller: Caller,
        /// Its queue.
        queue: QueueName,
        /// Its id.
        id: JobId,
        /// The job.
        job: Box<Job>,
        /// How long its caller waits for the answer.
        wait: Duration,
    },
    /// A job's state.
    State {
        /// Who makes the call.
        caller: Caller,
        /// The job.
        id: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// Who makes the call.
        caller: Caller,
        /// The job.
        id: JobId,
        /// How long its caller waits for the answer.
        wait: Duration,
    },
    /// Why a job stands where it stands.
    Explain {
        /// The job.
        id: JobId,
    },
    /// How all workspaces stand.
    Workspaces,
    /// Jobs of a queue that wait, of whichever workspace.
    Waiting {
        /// Who makes the call.
        caller: Caller,
        /// The queue.
        queue: QueueName,
    },
    /// The leader asks a follower to ask the adviser.
    Advise {
        /// The unit.
        unit: Unit,
        /// Workers to name.
        workers: Vec<WorkerId>,
    },
    /// The newest configuration that the sender knows.
    Config(Config),
    /// Asks for the newest configuration that the receiver knows.
    FetchConfig,
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Taken note of.
    Done,
    /// A sign of life.
    Alive(Alive),
    /// The newest configuration that the host knows.
    Config(Config),
    /// The call isn't let in, by a configuration at least as new as its host's; nothing was done.
    NotAdmitted(Refusal),
    /// Another workspace has a job of this id; nothing was done.
    IdTaken,
    /// The job can never run within its workspace's limit; it was not taken.
    Excessive(Excess),
    /// This host doesn't lead, or isn't certain to; nothing was done.
    NotLeader,
    /// The job is accepted and kept.
    Accepted,
    /// The job was not taken and never runs; it may come again after this time.
    Refused(Duration),
    /// What became of the call is not known.
    Unknown,
    /// A job's state; `None` when there is no such job.
    State(Option<State>),
    /// Whether there was such a job; it is cancelled, or had ended before.
    Cancelled(bool),
    /// How a job stands; `None` when there is no such job.
    Explanation(Option<Explanation>),
    /// How all workspaces stand, by name.
    Workspaces(Vec<Workspace>),
    /// Number of jobs that wait.
    Waiting(usize),
    /// Workers that may run a step, with their tickets; `None` when the adviser didn't answer.
    Advice(Option<Vec<(WorkerId, String)>>),
}
