//! Starts an entry host and runs it until it is told to stop.

use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use claim::Owner;
use facts::Facts;
use gateway::Gateway;
use member::Peer;
use metrics::Metrics;
use settings::Settings;
use slog::Logger;
use store::{Budget, Client, ListClient};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};

use crate::commit::Committer;
use crate::configuration::Configuration;
use crate::held_workers::HeldWorkers;
use crate::listing::Listing;
use crate::membership::Membership;
use crate::operators::OperatorApi;
use crate::owner::Partitions;
use crate::peers::PeerClient;
use crate::shared::{Shared, incarnation};
use crate::{
    commit, configuration, held_workers, listing, membership, owner, peers, pull, schedule, services, stop, sweep,
    usage,
};

/// The reason why an entry host could not be started.
#[derive(Debug)]
pub enum StartError {
    /// The host can't listen on one of its addresses.
    Listen {
        /// The field of the settings that holds the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error message of the operating system.
        reason: String,
    },
}

impl std::fmt::Display for StartError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Listen { field, address, reason } => {
                write!(out, "{field}: can't listen on {address}: {reason}")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Maximum number of connections over which peers relay requests.
const RELAY_CONNECTIONS: usize = 4096;

/// Maximum number of connections of operators. Each may hold the head and the body of a request.
const OPERATOR_CONNECTIONS: usize = 16;
/// Address of the server of the operators' API, which is reached through a listener that bounds its connections.
const INTERNAL_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Sockets {
    callers: TcpListener,
    relay: TcpListener,
    peers: TcpListener,
    digests: UdpSocket,
}

/// Runs an entry host until `shutdown` completes and the planned stop has ended.
///
/// # Errors
///
/// Returns an error if the host can't listen on one of its addresses.
pub async fn run(settings: Settings, log: Logger, shutdown: impl Future<Output = ()>) -> Result<(), StartError> {
    let sockets = listen(&settings).await?;
    let address = settings.listen.operators;
    let operator_listener = web::bind(address).map_err(|error| listen_error("listen.operators", address, &error))?;
    let shared = build_shared(settings, log);
    let operators = api::start(INTERNAL_ADDRESS, Arc::new(OperatorApi::new(shared.clone())), &events::silent())
        .map_err(|reason| StartError::Listen { field: "listen.operators", address: INTERNAL_ADDRESS, reason })?;
    let connections = shared.gateway.connections("operators", OPERATOR_CONNECTIONS);
    tokio::spawn(web::forward(operator_listener, connections, operators.local_addr()));
    let (stop_serving, servers) = serve(&shared, sockets);
    events::emit!(shared.log, events::STARTED, "incarnation" => shared.owner.incarnation);
    shutdown.await;
    stop::leave(&shared).await;
    stop_serving.send_replace(true);
    for server in servers {
        let _ = server.await;
    }
    stop::hand_over_keys(&shared).await;
    let _ = tokio::time::timeout(Duration::from_secs(2), operators.close()).await;
    stop::announce_gone(&shared).await;
    Ok(())
}

fn listen_error(field: &'static str, address: SocketAddr, error: &io::Error) -> StartError {
    StartError::Listen { field, address, reason: error.to_string() }
}

async fn listen(settings: &Settings) -> Result<Sockets, StartError> {
    let addresses = &settings.listen;
    Ok(Sockets {
        callers: web::bind(addresses.callers)
            .map_err(|error| listen_error("listen.callers", addresses.callers, &error))?,
        relay: web::bind(addresses.relay).map_err(|error| listen_error("listen.relay", addresses.relay, &error))?,
        peers: TcpListener::bind(addresses.peers)
            .await
            .map_err(|error| listen_error("listen.peers", addresses.peers, &error))?,
        digests: UdpSocket::bind(addresses.peers)
            .await
            .map_err(|error| listen_error("listen.peers", addresses.peers, &error))?,
    })
}

fn build_shared(settings: Settings, log: Logger) -> Arc<Shared> {
    let now = Instant::now();
    let own = Peer {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        peers: settings.listen.peers,
        relay: settings.listen.relay,
    };
    let owner = Owner { host: own.host.clone(), incarnation: incarnation() };
    let metrics = Metrics::default();
    let budget = Arc::new(Budget::new(f64::from(settings.platform.calls_per_second), now));
    let (address, timeout) = (settings.platform.address, settings.platform.timeout);
    Arc::new(Shared {
        store: Arc::new(Client::new(address, timeout, budget.clone())),
        lister: Arc::new(ListClient::new(address, timeout, budget.clone())),
        budget,
        platform_reachable: AtomicBool::new(false),
        peer_client: PeerClient::new(wire::Key::new(&settings.shared_key), metrics.clone(), log.clone()),
        membership: Membership::new(own.clone(), owner.incarnation, settings.membership.dead_after),
        configuration: Configuration::new(),
        listing: Listing::default(),
        facts: Facts::new(own.host.clone()),
        held_workers: HeldWorkers::default(),
        partitions: Partitions::new(settings.tasks.partitions, now),
        committer: Committer::new(),
        gateway: Gateway::new(&settings, metrics.clone(), log.clone()),
        schedule_needed: Notify::new(),
        facts_pull_needed: Notify::new(),
        services_changed: Notify::new(),
        stopping: watch::Sender::new(false),
        metrics,
        own,
        owner,
        log,
        settings,
    })
}

type Servers = Vec<tokio::task::JoinHandle<()>>;

/// Starts all background tasks and servers. The servers for callers and for relayed requests stop when the returned
/// sender is set to true.
fn serve(shared: &Arc<Shared>, sockets: Sockets) -> (watch::Sender<bool>, Servers) {
    let digests = Arc::new(sockets.digests);
    tokio::spawn(membership::detect_pauses(shared.clone()));
    tokio::spawn(membership::receive_digests(shared.clone(), digests.clone()));
    tokio::spawn(membership::send_digests(shared.clone(), digests));
    tokio::spawn(peers::serve(shared.clone(), sockets.peers));
    tokio::spawn(configuration::run(shared.clone()));
    tokio::spawn(listing::run(shared.clone()));
    tokio::spawn(pull::run(shared.clone()));
    tokio::spawn(held_workers::run(shared.clone()));
    tokio::spawn(owner::run(shared.clone()));
    tokio::spawn(schedule::run(shared.clone()));
    tokio::spawn(commit::run(shared.clone()));
    tokio::spawn(services::run(shared.clone()));
    tokio::spawn(sweep::run(shared.clone()));
    tokio::spawn(usage::run(shared.clone()));

    let stop_serving = watch::Sender::new(false);
    let grace = shared.settings.stop_within;
    let connections = shared.gateway.connections("callers", shared.settings.requests.connections as usize);
    let relay_connections = shared.gateway.connections("relay", RELAY_CONNECTIONS);
    let gateway = shared.gateway.clone();
    let callers = move |request, _| gateway.clone().handle_caller_request(request);
    let gateway = shared.gateway.clone();
    let hosts = move |request, _| gateway.clone().handle_relayed_request(request);
    let servers = vec![
        tokio::spawn(web::serve_clients(sockets.callers, connections, stopped(&stop_serving), grace, callers)),
        tokio::spawn(web::serve_clients(sockets.relay, relay_connections, stopped(&stop_serving), grace, hosts)),
    ];
    (stop_serving, servers)
}

fn stopped(signal: &watch::Sender<bool>) -> impl Future<Output = ()> + use<> {
    let mut receiver = signal.subscribe();
    async move {
        let _ = receiver.wait_for(|stop| *stop).await;
    }
}
