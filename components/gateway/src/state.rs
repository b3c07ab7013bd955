//! The shared state of the gateway of one entry host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use http::{Request, Response, StatusCode};
use metrics::Metrics;
use model::{ClassId, DataCentreId, HostId, TeamId, WorkloadId};
use parking_lot::{Mutex, RwLock};
use request::{Classes, Instance, KeyOwnership};
use settings::{Class, Settings};
use slog::Logger;
use web::{Body, Budget, Incoming, ReadError};

use crate::accept::Source;
use crate::keyed::KeyShards;
use crate::relay::Relay;
use crate::response::{not_run, rejected};
use crate::service::Service;

/// Number of teams with their own metrics and queues. Further ones share the team `other`, so that callers can't
/// exhaust the memory with team names.
const MAX_TRACKED_TEAMS: usize = 512;
/// Largest tolerated difference between the clocks (and host lists) of two entry hosts, or to the clock of a caller.
pub(crate) const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// When a caller should retry whose request found no memory; others are complete, or given up, within this time.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Another entry host that requests can be relayed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayHost {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Address for relayed requests.
    pub relay: SocketAddr,
    /// Whether it accepts new requests.
    pub serving: bool,
}

/// The entry hosts as currently known.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// Hosts of this data centre that share the slots of its instances.
    pub slot_hosts: Vec<HostId>,
    /// Hosts of this data centre among which the idempotency keys are partitioned.
    pub key_owners: Vec<HostId>,
    /// Other entry hosts that are reachable, in all data centres.
    pub relay_hosts: Vec<RelayHost>,
    /// Whether a quorum of this data centre has recently received messages from this host.
    pub has_quorum: bool,
}

/// Counters and current load of a request class on this host.
#[derive(Clone, Debug)]
pub struct ClassStats {
    pub class: ClassId,
    /// Requests answered by a backend server.
    pub answered: u64,
    /// Requests with the outcome "not run".
    pub not_run: u64,
    /// Requests with the outcome "unknown".
    pub unknown: u64,
    /// Requests in the queue.
    pub waiting: usize,
    /// This host's share of the slots.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
}

#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) answered: AtomicU64,
    pub(crate) not_run: AtomicU64,
    pub(crate) unknown: AtomicU64,
}

/// The gateway of one entry host.
pub struct Gateway {
    pub(crate) data_centre: DataCentreId,
    pub(crate) data_centres: Vec<DataCentreId>,
    pub(crate) limits: settings::Requests,
    pub(crate) classes: Vec<Class>,
    pub(crate) class_paths: Classes,
    pub(crate) counts: Vec<Counts>,
    pub(crate) services: BTreeMap<WorkloadId, Arc<Service>>,
    /// Memory for the bodies of requests.
    pub(crate) memory: Arc<Budget>,
    pub(crate) keys: KeyShards,
    pub(crate) ownership: Mutex<KeyOwnership>,
    pub(crate) topology: RwLock<Topology>,
    pub(crate) relay: Relay,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
    teams: Mutex<BTreeSet<TeamId>>,
    leaving: AtomicBool,
    ready: AtomicBool,
    /// The hosts that share the slots, and the time at which this set last changed.
    slot_hosts_since: Mutex<(Vec<HostId>, Instant)>,
    ready_after: Duration,
}

impl Gateway {
    pub fn new(settings: &Settings, metrics: Metrics, log: Logger) -> Arc<Gateway> {
        let gain_after = settings.membership.dead_after;
        let service = || Arc::new(Service::new(settings.host.clone(), &settings.requests, gain_after));
        let services = settings.classes.iter().map(|class| (class.service.clone(), service())).collect();
        Arc::new(Gateway {
            data_centre: settings.data_centre.clone(),
            data_centres: settings.data_centres.clone(),
            limits: settings.requests.clone(),
            class_paths: Classes::new(settings.classes.iter().map(|class| class.path.as_str())),
            counts: settings.classes.iter().map(|_| Counts::default()).collect(),
            classes: settings.classes.clone(),
            services,
            memory: Budget::new(settings.requests.memory as usize),
            keys: KeyShards::new(&settings.requests),
            ownership: Mutex::new(KeyOwnership::new(settings.host.clone(), MAX_CLOCK_SKEW, SystemTime::now())),
            topology: RwLock::default(),
            relay: Relay::new(&settings.shared_key),
            metrics,
            log,
            teams: Mutex::default(),
            leaving: AtomicBool::new(false),
            ready: AtomicBool::new(false),
            slot_hosts_since: Mutex::new((Vec::new(), Instant::now())),
            ready_after: gain_after,
        })
    }

    /// Sets the live instances of each service.
    pub fn update_instances(&self, mut instances: BTreeMap<WorkloadId, Vec<Instance>>) {
        let now = Instant::now();
        for (name, service) in &self.services {
            service.update_instances(instances.remove(name).unwrap_or_default(), now);
        }
    }

    pub fn update_hosts(&self, topology: Topology) {
        let now = Instant::now();
        for service in self.services.values() {
            service.update_hosts(&topology.slot_hosts, now);
        }
        {
            let mut ownership = self.ownership.lock();
            let wall_clock = SystemTime::now();
            ownership.update_hosts(topology.key_owners.clone(), wall_clock);
            if ownership.update_quorum(topology.has_quorum, wall_clock) && !topology.has_quorum {
                events::emit!(self.log, events::KEYS_UNCERTAIN);
            }
        }
        self.update_readiness(&topology.slot_hosts, now);
        *self.topology.write() = topology;
    }

    /// Marks this host as ready once the set of hosts sharing the slots has been stable for `ready_after`: a new host
    /// gets no share of the slots before the other hosts can have seen it.
    fn update_readiness(&self, hosts: &[HostId], now: Instant) {
        let mut slot_hosts_since = self.slot_hosts_since.lock();
        if slot_hosts_since.0 != hosts {
            *slot_hosts_since = (hosts.to_vec(), now);
        }
        if now.duration_since(slot_hosts_since.1) >= self.ready_after {
            self.ready.store(true, Ordering::Relaxed);
        }
    }

    /// Whether the load balancer may send requests to this host.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Makes the health check fail, so that the load balancer stops sending requests. Requests are still served.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Handles a request received from a caller.
    pub async fn handle_caller_request(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        crate::accept::handle(&self, request, Source::Caller).await
    }

    /// Handles a request relayed by another entry host.
    pub async fn handle_relayed_request(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match self.relay.hops(&request) {
            Some(hops) => crate::accept::handle(&self, request, Source::Host(hops)).await,
            None => rejected(StatusCode::UNAUTHORIZED, "relayed requests need the cell's shared key"),
        }
    }

    /// Returns the response to a request whose body wasn't received. Nothing was sent to a backend server.
    pub(crate) fn not_received(&self, error: ReadError) -> Response<Body> {
        let (reason, response) = match error {
            ReadError::TooLong(_) => return rejected(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
            ReadError::Incomplete => return rejected(StatusCode::BAD_REQUEST, &error.to_string()),
            ReadError::Late => ("late", rejected(StatusCode::REQUEST_TIMEOUT, &error.to_string())),
            ReadError::NoMemory => ("no_memory", not_run(&error.to_string(), MEMORY_RETRY)),
        };
        self.metrics.record_unreceived_request(reason);
        events::emit!(self.log, events::REQUEST_NOT_RECEIVED, "why" => error.to_string(),
            "used_bytes" => self.memory.used(), "limit_bytes" => self.memory.limit(),
            "status" => response.status().as_u16());
        response
    }

    /// The connections of a listener, at most `max`. Reports those that are closed for new ones.
    pub fn connections(self: &Arc<Self>, listener: &'static str, max: usize) -> Arc<web::Connections> {
        let gateway = self.clone();
        web::Connections::reporting(max, move |waited| {
            gateway.metrics.record_replaced_connection(listener);
            events::emit!(gateway.log, events::CONNECTION_REPLACED, "listener" => listener, "connections" => max,
                "waited_ms" => waited.as_millis() as u64);
        })
    }

    /// The counters and load of each request class.
    pub fn class_stats(&self) -> Vec<ClassStats> {
        let mut stats = Vec::with_capacity(self.classes.len());
        for (class, counts) in self.classes.iter().zip(&self.counts) {
            let (waiting, (slots, in_use)) =
                self.services.get(&class.service).map_or((0, (0, 0)), |service| service.load());
            stats.push(ClassStats {
                class: class.name.clone(),
                answered: counts.answered.load(Ordering::Relaxed),
                not_run: counts.not_run.load(Ordering::Relaxed),
                unknown: counts.unknown.load(Ordering::Relaxed),
                waiting,
                slots,
                in_use,
            });
        }
        stats
    }

    /// The name under which a team is counted and queued: its own, or `other` above the limit.
    pub(crate) fn tracked_team(&self, name: &str) -> TeamId {
        let mut teams = self.teams.lock();
        if teams.contains(name) {
            return name.to_owned();
        }
        if teams.len() >= MAX_TRACKED_TEAMS {
            return "other".to_owned();
        }
        teams.insert(name.to_owned());
        name.to_owned()
    }
}
