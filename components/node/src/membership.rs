//! Sends and receives digests over UDP, and maintains the table of entry hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use member::{DetectorLimits, Digest, HostState, Member, MemberTable, Peer, Presence};
use model::{DataCentreId, HostId, Incarnation, Revision};
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::shared::Shared;

/// Number of hosts of each other data centre that a digest is sent to.
const REMOTE_TARGETS: usize = 2;
/// Only one in this many digests is sent to other data centres.
const REMOTE_DIGEST_EVERY: u64 = 5;
/// Ratio of the silence after which a remote host is considered dead to that for a host of this data centre.
const REMOTE_DEAD_FACTOR: u32 = 4;
/// One in this many digests lists known hosts, for hosts that have just joined.
const KNOWN_HOSTS_EVERY: u64 = 16;
/// Maximum number of known hosts listed in a digest.
const MAX_KNOWN_HOSTS: usize = 8;
/// Minimum time between two digests that are sent because of changes.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(40);

/// Kept under one lock, so that no lock order has to be observed.
struct Hosts {
    table: MemberTable,
    /// Hosts that peers listed as known but that this host has not heard from.
    named: HashMap<HostId, SocketAddr>,
    /// The state of each host when changes were last reported.
    reported_states: HashMap<HostId, HostState>,
}

/// The other entry hosts, as seen by this one.
pub(crate) struct Membership {
    own: Peer,
    own_incarnation: Incarnation,
    state: Mutex<Hosts>,
    presence: Mutex<Presence>,
    sequence: AtomicU64,
    /// Notified when a digest should be sent before the next heartbeat.
    pub(crate) send_now: Notify,
    /// Notified when the set of live hosts may have changed.
    pub(crate) changed: Notify,
}

impl Membership {
    pub(crate) fn new(own: Peer, incarnation: Incarnation, dead_after: Duration) -> Membership {
        let limits = DetectorLimits {
            dead_after,
            remote_dead_after: dead_after * REMOTE_DEAD_FACTOR,
            echo_timeout: dead_after / 2,
            pause_threshold: dead_after / 2,
            ..DetectorLimits::default()
        };
        Membership {
            state: Mutex::new(Hosts {
                table: MemberTable::new(own.clone(), incarnation, limits),
                named: HashMap::new(),
                reported_states: HashMap::new(),
            }),
            own,
            own_incarnation: incarnation,
            presence: Mutex::new(Presence::Serving),
            sequence: AtomicU64::new(0),
            send_now: Notify::new(),
            changed: Notify::new(),
        }
    }

    pub(crate) fn presence(&self) -> Presence {
        *self.presence.lock()
    }

    pub(crate) fn set_presence(&self, presence: Presence) {
        *self.presence.lock() = presence;
        self.send_now.notify_one();
    }

    /// The live hosts of a data centre, including this one while it serves.
    pub(crate) fn live_in(&self, data_centre: &DataCentreId) -> Vec<HostId> {
        let serving = self.presence() == Presence::Serving;
        self.state.lock().table.live_hosts_in(data_centre, serving, Instant::now())
    }

    /// The hosts of this data centre that may send requests to instances: this one, and all others that are live or
    /// leaving.
    pub(crate) fn sharing_hosts(&self) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self.neighbours().into_iter().map(|member| member.peer.host).collect();
        hosts.push(self.own.host.clone());
        hosts.sort();
        hosts
    }

    /// The live host of this data centre that is responsible for a key, if any.
    pub(crate) fn responsible(&self, key: &str) -> Option<HostId> {
        let hosts = self.live_in(&self.own.data_centre);
        member::highest_ranked(key, hosts.iter().map(String::as_str)).map(str::to_owned)
    }

    /// Whether this host is responsible for a key.
    pub(crate) fn is_responsible(&self, key: &str) -> bool {
        self.responsible(key).as_deref() == Some(self.own.host.as_str())
    }

    pub(crate) fn state(&self, host: &str) -> Option<HostState> {
        self.state.lock().table.state(host, Instant::now())
    }

    pub(crate) fn get(&self, host: &str) -> Option<Member> {
        self.state.lock().table.get(host).cloned()
    }

    /// The other hosts of this data centre that are live or leaving.
    pub(crate) fn neighbours(&self) -> Vec<Member> {
        let mut reachable = self.reachable();
        reachable.retain(|member| member.peer.data_centre == self.own.data_centre);
        reachable
    }

    /// The other hosts of all data centres that are live or leaving.
    pub(crate) fn reachable(&self) -> Vec<Member> {
        self.state.lock().table.reachable(Instant::now()).into_iter().cloned().collect()
    }

    /// All other hosts in the table, including dead ones.
    pub(crate) fn all(&self) -> Vec<Member> {
        self.state.lock().table.iter().cloned().collect()
    }

    /// Whether a quorum of the data centre has heard from this host recently.
    pub(crate) fn has_authority(&self, delisted: impl Fn(&str) -> bool) -> bool {
        self.state.lock().table.has_authority(delisted, Instant::now())
    }

    /// The hosts of the data centre that share the responsibility for keys.
    pub(crate) fn responsible_hosts(&self, delisted: impl Fn(&str) -> bool) -> Vec<HostId> {
        let serving = self.presence() == Presence::Serving;
        self.state.lock().table.responsible_hosts(serving, delisted, Instant::now())
    }

    /// Reads the clock, so that a pause of this host is detected before other hosts are considered dead.
    pub(crate) fn tick(&self) {
        self.state.lock().table.tick(Instant::now());
    }

    fn digest(&self, cell: &str, configuration: Revision, facts: u64, now: Instant) -> Digest {
        let table = &mut self.state.lock().table;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        table.record_sent(sequence, now);
        let reachable = table.reachable(now);
        // Lists known hosts in each of the first digests after a start, when this host itself knows few others.
        let count = if sequence.is_multiple_of(KNOWN_HOSTS_EVERY) || sequence < KNOWN_HOSTS_EVERY {
            MAX_KNOWN_HOSTS
        } else {
            0
        };
        let named = reachable.choose_multiple(&mut rand::rng(), count);
        Digest {
            cell: cell.to_owned(),
            from: self.own.clone(),
            incarnation: self.own_incarnation,
            sequence,
            presence: self.presence(),
            configuration,
            facts,
            heard: table.heard_hosts(now),
            known: named.map(|member| member.peer.clone()).collect(),
        }
    }

    /// The addresses that the next digest is sent to: all neighbours and a few hosts of each other data centre. So
    /// that hosts find each other, also after a network failure, the digest is sent to the seeds, to hosts that peers
    /// have listed and to one dead host as well.
    fn targets(&self, seeds: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        let Hosts { table, named, .. } = &*self.state.lock();
        let mut remote: HashMap<&DataCentreId, Vec<SocketAddr>> = HashMap::new();
        let mut targets = Vec::new();
        let mut known = Vec::new();
        for member in table.reachable(now) {
            known.push(member.peer.peers);
            if member.peer.data_centre == self.own.data_centre {
                targets.push(member.peer.peers);
            } else {
                remote.entry(&member.peer.data_centre).or_default().push(member.peer.peers);
            }
        }
        let mut rng = rand::rng();
        let sequence = self.sequence.load(Ordering::Relaxed);
        if sequence < KNOWN_HOSTS_EVERY || sequence.is_multiple_of(REMOTE_DIGEST_EVERY) {
            for addresses in remote.values() {
                targets.extend(addresses.choose_multiple(&mut rng, REMOTE_TARGETS));
            }
        }
        let dead: Vec<SocketAddr> = table
            .iter()
            .filter(|member| table.state(&member.peer.host, now) == Some(HostState::Dead))
            .map(|member| member.peer.peers)
            .collect();
        targets.extend(dead.choose(&mut rng));
        let unconfirmed = seeds.iter().chain(named.values()).filter(|address| !known.contains(address));
        targets.extend(unconfirmed.filter(|address| **address != self.own.peers));
        targets
    }

    fn receive(&self, digest: &Digest, now: Instant) -> bool {
        let Hosts { table, named, .. } = &mut *self.state.lock();
        let changed = table.receive(digest, now);
        named.remove(&digest.from.host);
        for peer in &digest.known {
            if peer.host != self.own.host && table.get(&peer.host).is_none() {
                named.insert(peer.host.clone(), peer.peers);
            }
        }
        changed
    }

    /// The hosts whose state has changed since the last call.
    fn state_changes(&self, now: Instant) -> Vec<(HostId, HostState)> {
        let Hosts { table, reported_states, .. } = &mut *self.state.lock();
        table.remove_expired(now);
        let mut state_changes = Vec::new();
        for member in table.iter() {
            let host = &member.peer.host;
            let Some(state) = table.state(host, now) else { continue };
            if reported_states.insert(host.clone(), state) != Some(state) {
                state_changes.push((host.clone(), state));
            }
        }
        state_changes
    }
}

/// Reads the clock at regular intervals until the process ends, to detect pauses of this host.
pub(crate) async fn detect_pauses(shared: Arc<Shared>) {
    loop {
        shared.membership.tick();
        tokio::time::sleep(shared.settings.membership.heartbeat / 2).await;
    }
}

/// Sends digests until the process ends.
pub(crate) async fn send_digests(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut heartbeat = tokio::time::interval(shared.settings.membership.heartbeat);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = heartbeat.tick() => {}
            () = shared.membership.send_now.notified() => tokio::time::sleep(MIN_DIGEST_INTERVAL).await,
        }
        send_digest(&shared, &socket).await;
        report_state_changes(&shared);
    }
}

async fn send_digest(shared: &Shared, socket: &UdpSocket) {
    let now = Instant::now();
    let (configuration, facts) = (shared.configuration.revision(), shared.facts.own_version());
    let digest = shared.membership.digest(&shared.settings.cell, configuration, facts, now);
    let Ok(bytes) = wire::encode(shared.peer_client.key(), &digest) else { return };
    for target in shared.membership.targets(&shared.settings.seeds, now) {
        // Errors are ignored because the next digest makes up for a lost one.
        let _ = socket.send_to(&bytes, target).await;
        shared.metrics.record_control_bytes("digest_sent", bytes.len());
    }
}

fn report_state_changes(shared: &Shared) {
    let state_changes = shared.membership.state_changes(Instant::now());
    if state_changes.is_empty() {
        return;
    }
    for (host, state) in state_changes {
        match state {
            HostState::Live => events::emit!(shared.log, events::HOST_LIVE, "peer" => host),
            HostState::Leaving => events::emit!(shared.log, events::HOST_LEAVING, "peer" => host),
            HostState::Dead => events::emit!(shared.log, events::HOST_DEAD, "peer" => host),
        }
    }
    shared.membership.changed.notify_waiters();
    shared.schedule_needed.notify_one();
}

/// Receives digests until the process ends.
pub(crate) async fn receive_digests(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; wire::MAX_DATAGRAM];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut buffer).await else { continue };
        shared.metrics.record_control_bytes("digest_received", length);
        match wire::decode::<Digest>(shared.peer_client.key(), &buffer[..length]) {
            Ok(digest) if digest.cell == shared.settings.cell => handle_digest(&shared, &digest),
            Ok(_) => {}
            Err(error) => {
                events::emit!(shared.log, events::MESSAGE_REFUSED, "peer" => peer.to_string(), "why" => error.to_string());
            }
        }
    }
}

fn handle_digest(shared: &Shared, digest: &Digest) {
    let changed = shared.membership.receive(digest, Instant::now());
    if changed {
        report_state_changes(shared);
        // A host that has just joined gets an answer at once instead of after a heartbeat.
        shared.membership.send_now.notify_one();
    }
    if digest.configuration > shared.configuration.revision() {
        shared.configuration.pull_needed.notify_one();
    }
    let is_neighbour = digest.from.data_centre == *shared.data_centre();
    if is_neighbour && shared.facts.is_behind(&digest.from.host, digest.incarnation, digest.facts) {
        shared.facts_pull_needed.notify_one();
    }
}
