//! Entry hosts: they accept callers' jobs over links and either lead the cell or forward calls to the leader.
//!
//! Every host runs the same program. One of them is the leader: it schedules, sends orders to workers and writes the
//! log to the store. The other hosts forward calls to the leader and query the advice service on its behalf.

mod access;
mod claim;
mod config;
mod election;
mod heartbeat;
mod host;
mod isolation;
mod latest;
mod leaderless;
mod leadership;
mod memory;
mod message;
mod outage;
mod peers;
mod predecessors;
mod services;

use std::sync::Arc;

use tokio::net::TcpListener;

pub use access::{Caller, Client, Refusal as AccessRefusal};
pub use config::Admission;
pub use host::{Host, Link, Role, Services, Settings};
pub use isolation::is_isolated;
pub use leadership::Leadership;
pub use memory::Memory;
pub use message::{Alive, Answer, Call, Leader};
pub use predecessors::Predecessors;
pub use services::{
    Adviser, CommitOutcome, Directory, KeyValue, LeaseId, Order, Put, Read, Refusal, Renewal, Reply, ServiceError,
    Store, Target, Transaction, WatchResult, WorkerStatus, Workers,
};

/// Starts a host's background tasks. Other hosts connect to `listener`.
pub fn spawn(host: &Arc<Host>, listener: TcpListener) {
    tokio::spawn(peers::listen(host.clone(), listener));
    tokio::spawn(config::run(host.clone()));
    tokio::spawn(election::run(host.clone()));
}
