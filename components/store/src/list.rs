//! The platform's lagging list of live and leaving hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use model::{DataCentreId, HostId, RackId, Resources};
use serde::{Deserialize, Serialize};

use crate::budget::{Budget, Purpose};
use crate::store::StoreError;

const MAX_LIST: usize = 4 * 1024 * 1024;

/// What a host of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// A worker.
    Worker,
    /// An entry host.
    Entry,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub name: HostId,
    /// What it is.
    pub kind: HostKind,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Rack.
    pub rack: RackId,
    /// Address by IP number.
    pub address: SocketAddr,
    /// All that a worker offers; nothing for an entry host.
    #[serde(default)]
    pub capacity: Resources,
    /// On its way out.
    #[serde(default)]
    pub leaving: bool,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Grows with each change of the list.
    pub version: u64,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// Reads the list. A trait, because the users' own platform may speak another dialect.
#[async_trait]
pub trait HostLister: Send + Sync {
    /// The list as the platform has it now; without hosts when its version is still `known`.
    async fn list(&self, known: u64) -> Result<List, StoreError>;
}

/// Reads the list by `GET /v1/hosts?known=VERSION` from the platform's address.
pub struct ListClient {
    http: web::Client,
    url: String,
    budget: Arc<Budget>,
}

impl ListClient {
    /// Creates a reader; each call ends after `timeout` and takes from `budget`.
    pub fn new(address: SocketAddr, timeout: Duration, budget: Arc<Budget>) -> ListClient {
        ListClient { http: web::Client::new(timeout, MAX_LIST), url: format!("http://{address}/v1/hosts"), budget }
    }
}

#[async_trait]
impl HostLister for ListClient {
    async fn list(&self, known: u64) -> Result<List, StoreError> {
        if !self.budget.try_take(Purpose::Hosts, Instant::now()) {
            return Err(StoreError::OverBudget);
        }
        self.http
            .get(&format!("{}?known={known}", self.url))
            .await
            .map_err(|fault| StoreError::Unknown(fault.to_string()))
    }
}
