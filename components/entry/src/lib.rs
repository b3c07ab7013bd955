//! An entry host for callers' jobs: takes calls, follows or is the leader.
//!
//! Every host runs the same program. One of them leads: it decides, orders workers and writes the log. The others
//! pass calls on to it, and ask the adviser for it.

mod access;
mod config;
mod election;
mod heartbeat;
mod host;
mod latest;
mod leadership;
mod message;
mod outage;
mod peers;
mod services;

use std::sync::Arc;

use tokio::net::TcpListener;

pub use access::{Caller, Client, Refusal as AccessRefusal};
pub use config::Admission;
pub use host::{Host, Link, Role, Services, Settings};
pub use leadership::Leadership;
pub use message::{Alive, Answer, Call, Leader};
pub use services::{
    Adviser, CommitOutcome, Directory, KeyValue, LeaseId, Order, Put, Read, Refusal, Renewal, Reply, ServiceError,
    Store, Target, Transaction, WatchResult, WorkerStatus, Workers,
};

/// Runs a host in the background, with `listener` for links of other hosts.
pub fn spawn(host: &Arc<Host>, listener: TcpListener) {
    tokio::spawn(peers::listen(host.clone(), listener));
    tokio::spawn(config::run(host.clone()));
    tokio::spawn(election::run(host.clone()));
}
