//! The state of the request path at one entry host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use http::{Request, Response};
use hyper::body::Incoming;
use metrics::Metrics;
use model::{ClassId, DataCentreId, HostId, TeamId, WorkloadId};
use parking_lot::{Mutex, RwLock};
use request::{Classes, Instance, KeyOwnership};
use settings::{Class, Settings};
use slog::Logger;
use web::Body;

use crate::accept::Source;
use crate::keyed::Keys;
use crate::relay::Relay;
use crate::service::Service;

/// Teams that metrics and queues tell apart; others count together, so that callers can't fill the memory.
const MOST_TEAMS: usize = 512;
/// How far the clocks and views of two entry hosts, or a caller's clock, may differ.
pub(crate) const SKEW: Duration = Duration::from_secs(2);

/// Another entry host that requests can be relayed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHost {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where it takes relayed requests.
    pub relay: SocketAddr,
    /// Whether it takes new requests.
    pub serving: bool,
}

/// The hosts as seen now.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// Hosts of the own data centre that share the slots of its instances.
    pub slot_hosts: Vec<HostId>,
    /// Hosts of the own data centre among which the keys are divided.
    pub key_owners: Vec<HostId>,
    /// Other hosts that can be reached.
    pub relay_hosts: Vec<RelayHost>,
    /// Whether a quorum of the own data centre has heard this host lately.
    pub has_quorum: bool,
}

/// How a class of requests fares here.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// The class.
    pub class: ClassId,
    /// Requests answered by a backend server.
    pub answered: u64,
    /// Requests refused as "not run".
    pub not_run: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests waiting now.
    pub waiting: usize,
    /// Slots that this host may use.
    pub slots: u32,
    /// Slots that it uses now.
    pub in_use: u32,
}

#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) answered: AtomicU64,
    pub(crate) not_run: AtomicU64,
    pub(crate) unknown: AtomicU64,
}

/// The request path of one entry host.
pub struct Gateway {
    pub(crate) data_centre: DataCentreId,
    pub(crate) data_centres: Vec<DataCentreId>,
    pub(crate) limits: settings::Requests,
    pub(crate) classes: Vec<Class>,
    pub(crate) paths: Classes,
    pub(crate) counts: Vec<Counts>,
    pub(crate) services: BTreeMap<WorkloadId, Arc<Service>>,
    pub(crate) keys: Keys,
    pub(crate) home: Mutex<KeyOwnership>,
    pub(crate) topology: RwLock<Topology>,
    pub(crate) relay: Relay,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    teams: Mutex<BTreeSet<TeamId>>,
    leaving: AtomicBool,
    ready: AtomicBool,
    /// Since when the hosts that share the slots have been what they are.
    settled: Mutex<(Vec<HostId>, Instant)>,
    settle: Duration,
}

impl Gateway {
    /// Creates the request path for an entry host with these settings.
    pub fn new(settings: &Settings, metrics: Metrics, log: Logger) -> Arc<Gateway> {
        let gain_after = settings.membership.dead_after;
        let service = || Arc::new(Service::new(settings.host.clone(), &settings.requests, gain_after));
        let services = settings.classes.iter().map(|class| (class.service.clone(), service())).collect();
        Arc::new(Gateway {
            data_centre: settings.data_centre.clone(),
            data_centres: settings.data_centres.clone(),
            limits: settings.requests.clone(),
            paths: Classes::new(settings.classes.iter().map(|class| class.path.as_str())),
            counts: settings.classes.iter().map(|_| Counts::default()).collect(),
            classes: settings.classes.clone(),
            services,
            keys: Keys::new(&settings.requests),
            home: Mutex::new(KeyOwnership::new(settings.host.clone(), SKEW, SystemTime::now())),
            topology: RwLock::default(),
            relay: Relay::new(&settings.shared_key),
            metrics,
            log,
            teams: Mutex::default(),
            leaving: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            settled: Mutex::new((Vec::new(), Instant::now())),
            settle: gain_after,
        })
    }

    /// Takes in the live instances of each service.
    pub fn update_instances(&self, mut instances: BTreeMap<WorkloadId, Vec<Instance>>) {
        let now = Instant::now();
        for (name, service) in &self.services {
            service.update_instances(instances.remove(name).unwrap_or_default(), now);
        }
    }

    /// Takes in the hosts.
    pub fn update_hosts(&self, topology: Topology) {
        let now = Instant::now();
        for service in self.services.values() {
            service.update_hosts(&topology.slot_hosts, now);
        }
        {
            let mut home = self.home.lock();
            let wall = SystemTime::now();
            home.update_hosts(topology.key_owners.clone(), wall);
            if home.update_quorum(topology.has_quorum, wall) && !topology.has_quorum {
                events::emit!(self.log, events::KEYS_UNCERTAIN);
            }
        }
        self.note_settled(&topology.slot_hosts, now);
        *self.topology.write() = topology;
    }

    /// A host that just started has no share of the slots until the other hosts can have seen it.
    fn note_settled(&self, hosts: &[HostId], now: Instant) {
        let mut settled = self.settled.lock();
        if settled.0 != hosts {
            *settled = (hosts.to_vec(), now);
        }
        if now.duration_since(settled.1) >= self.settle {
            self.ready.store(true, Ordering::Relaxed);
        }
    }

    /// Whether the balancer may send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Tells the balancer that this host is on its way out. Requests are still served.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Answers a request that a caller sent to this host.
    pub async fn handle_caller_request(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        crate::accept::answer(&self, request, Source::Caller).await
    }

    /// Answers a request that another entry host relayed.
    pub async fn handle_relayed_request(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match self.relay.hops(&request) {
            Some(hops) => crate::accept::answer(&self, request, Source::Host(hops)).await,
            None => crate::answer::bad(http::StatusCode::UNAUTHORIZED, "relayed requests need the cell's shared key"),
        }
    }

    /// How each class fares.
    pub fn class_stats(&self) -> Vec<ClassStats> {
        let mut lines = Vec::with_capacity(self.classes.len());
        for (class, counts) in self.classes.iter().zip(&self.counts) {
            let (waiting, (slots, in_use)) =
                self.services.get(&class.service).map_or((0, (0, 0)), |service| service.load());
            lines.push(ClassStats {
                class: class.name.clone(),
                answered: counts.answered.load(Ordering::Relaxed),
                not_run: counts.not_run.load(Ordering::Relaxed),
                unknown: counts.unknown.load(Ordering::Relaxed),
                waiting,
                slots,
                in_use,
            });
        }
        lines
    }

    /// The team as it is counted here.
    pub(crate) fn team(&self, name: &str) -> TeamId {
        let mut teams = self.teams.lock();
        if teams.contains(name) {
            return name.to_owned();
        }
        if teams.len() >= MOST_TEAMS {
            return "other".to_owned();
        }
        teams.insert(name.to_owned());
        name.to_owned()
    }
}
