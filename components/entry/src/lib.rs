//! An entry host for callers' jobs: takes calls, follows or is the leader.
//!
//! Every host runs the same program. One of them leads: it decides, orders workers and writes the log. The others
//! pass calls on to it, and ask the adviser for it.

mod access;
mod edge;
mod election;
mod follow;
mod host;
mod latest;
mod message;
mod outage;
mod peers;
mod reign;
mod signs;

use std::sync::Arc;

use tokio::net::TcpListener;

pub use access::{Caller, Client, Refusal as AccessRefusal};
pub use edge::{
    Adviser, CommitOutcome, Directory, KeyValue, LeaseId, Order, Put, Read, Refusal, Renewal, Reply, ServiceError,
    Store, Target, Transaction, WatchResult, WorkerStatus, Workers,
};
pub use follow::Admission;
pub use host::{Host, Link, Role, Services, Settings};
pub use message::{Alive, Answer, Call, Leader};
pub use reign::Leadership;

/// Runs a host in the background, with `listener` for links of other hosts.
pub fn spawn(host: &Arc<Host>, listener: TcpListener) {
    tokio::spawn(peers::listen(host.clone(), listener));
    tokio::spawn(follow::config(host.clone()));
    tokio::spawn(election::run(host.clone()));
}
