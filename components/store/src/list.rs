//! The platform's list of live and leaving hosts. The list lags behind their actual state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use model::{DataCentreId, HostId, RackId, Resources};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::budget::{Budget, Purpose};
use crate::store::StoreError;

const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Kind of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    Worker,
    Entry,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    pub name: HostId,
    pub kind: HostKind,
    pub data_centre: DataCentreId,
    pub rack: RackId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Total resources of a worker; zero for an entry host.
    #[serde(default)]
    pub capacity: Resources,
    /// Whether the host is being removed.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Increases with each change of the list.
    pub version: u64,
    pub hosts: Vec<Host>,
    /// Entries that can't be read as hosts.
    pub invalid: Vec<InvalidEntry>,
}

/// An entry of the list that can't be read as a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidEntry {
    /// Name of the host, if that can be read.
    pub name: Option<HostId>,
    /// Why it can't be read.
    pub reason: String,
}

/// The platform's answer. Anybody may add hosts, so entries are parsed one by one: an invalid one must not affect the
/// others. Raw values are read without recursion and without evaluating numbers.
#[derive(Deserialize)]
struct Response {
    version: u64,
    hosts: Vec<Box<RawValue>>,
}

/// The part of an entry that names its host.
#[derive(Deserialize)]
struct Name {
    name: HostId,
}

impl From<Response> for List {
    fn from(response: Response) -> List {
        let mut list = List { version: response.version, ..List::default() };
        for entry in &response.hosts {
            match serde_json::from_str::<Host>(entry.get()) {
                Ok(host) => list.hosts.push(host),
                Err(error) => list.invalid.push(InvalidEntry {
                    name: serde_json::from_str::<Name>(entry.get()).ok().map(|entry| entry.name),
                    reason: error.to_string(),
                }),
            }
        }
        list
    }
}

/// Reads the list of hosts. This is a trait because platforms may provide the list over different protocols.
#[async_trait]
pub trait HostLister: Send + Sync {
    /// Reads the current list. Its hosts are left out if its version is still `known`.
    async fn list(&self, known: u64) -> Result<List, StoreError>;
}

/// Reads the list with `GET /v1/hosts?known=VERSION`.
pub struct ListClient {
    http: web::Client,
    url: String,
    budget: Arc<Budget>,
}

impl ListClient {
    /// Creates a client whose calls time out after `timeout` and are limited by `budget`.
    pub fn new(address: SocketAddr, timeout: Duration, budget: Arc<Budget>) -> ListClient {
        ListClient {
            http: web::Client::new(timeout, MAX_LIST_BYTES),
            url: format!("http://{address}/v1/hosts"),
            budget,
        }
    }
}

#[async_trait]
impl HostLister for ListClient {
    async fn list(&self, known: u64) -> Result<List, StoreError> {
        if !self.budget.try_take(Purpose::Hosts, Instant::now()) {
            return Err(StoreError::OverBudget);
        }
        let response: Response = self
            .http
            .get(&format!("{}?known={known}", self.url))
            .await
            .map_err(|error| StoreError::Unknown(error.to_string()))?;
        Ok(response.into())
    }
}
