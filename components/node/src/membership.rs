//! Sends and hears digests over UDP, and keeps the table of entry hosts.

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

/// Hosts of each other data centre that a digest goes to, once in so many digests.
const FAR: usize = 2;
const FAR_EVERY: u64 = 5;
/// Silence after which a host of another data centre is taken for dead, against one of the own.
const FAR_PATIENCE: u32 = 4;
/// Hosts are named for newcomers once in so many digests.
const NAMED_EVERY: u64 = 16;
/// Hosts named in a digest for newcomers.
const NAMED: usize = 8;
/// Digests that go out at once after a change keep at least this distance.
const SPACING: Duration = Duration::from_millis(40);

/// All under one lock: there is no order of locks to get wrong.
struct Hosts {
    table: MemberTable,
    /// Hosts that others named and that were not heard yet.
    named: HashMap<HostId, SocketAddr>,
    /// The states that were last reported as news.
    seen: HashMap<HostId, HostState>,
}

/// The other entry hosts, as this one sees them.
pub(crate) struct Membership {
    own: Peer,
    own_incarnation: Incarnation,
    state: Mutex<Hosts>,
    presence: Mutex<Presence>,
    sequence: AtomicU64,
    /// Set when a digest should go out before its time.
    pub(crate) speak: Notify,
    /// Set when the live hosts may have changed.
    pub(crate) changed: Notify,
}

impl Membership {
    pub(crate) fn new(own: Peer, incarnation: Incarnation, dead_after: Duration) -> Membership {
        let limits = DetectorLimits {
            dead_after,
            remote_dead_after: dead_after * FAR_PATIENCE,
            echo_timeout: dead_after / 2,
            pause_threshold: dead_after / 2,
            ..DetectorLimits::default()
        };
        Membership {
            state: Mutex::new(Hosts {
                table: MemberTable::new(own.clone(), incarnation, limits),
                named: HashMap::new(),
                seen: HashMap::new(),
            }),
            own,
            own_incarnation: incarnation,
            presence: Mutex::new(Presence::Serving),
            sequence: AtomicU64::new(0),
            speak: Notify::new(),
            changed: Notify::new(),
        }
    }

    pub(crate) fn presence(&self) -> Presence {
        *self.presence.lock()
    }

    pub(crate) fn set_presence(&self, presence: Presence) {
        *self.presence.lock() = presence;
        self.speak.notify_one();
    }

    /// Live hosts of a data centre, this one too while it serves.
    pub(crate) fn live_in(&self, data_centre: &DataCentreId) -> Vec<HostId> {
        let serving = self.presence() == Presence::Serving;
        self.state.lock().table.live_hosts_in(data_centre, serving, Instant::now())
    }

    /// Hosts of the own data centre that may send requests to instances: also the leaving ones, until they are
    /// gone, and always this one.
    pub(crate) fn sharing(&self) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = self.neighbours().into_iter().map(|member| member.peer.host).collect();
        hosts.push(self.own.host.clone());
        hosts.sort();
        hosts
    }

    /// The live host of the own data centre that is responsible for a key; `None` when there is none.
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

    /// Other hosts of the own data centre that are live or leaving.
    pub(crate) fn neighbours(&self) -> Vec<Member> {
        let mut reachable = self.reachable();
        reachable.retain(|member| member.peer.data_centre == self.own.data_centre);
        reachable
    }

    /// Other hosts that are live or leaving.
    pub(crate) fn reachable(&self) -> Vec<Member> {
        self.state.lock().table.reachable(Instant::now()).into_iter().cloned().collect()
    }

    /// All other hosts heard of, dead ones too.
    pub(crate) fn all(&self) -> Vec<Member> {
        self.state.lock().table.iter().cloned().collect()
    }

    /// Whether a quorum of the data centre has heard this host lately.
    pub(crate) fn has_authority(&self, dropped: impl Fn(&str) -> bool) -> bool {
        self.state.lock().table.has_authority(dropped, Instant::now())
    }

    /// The hosts of the data centre among which responsibility for keys is divided.
    pub(crate) fn homes(&self, dropped: impl Fn(&str) -> bool) -> Vec<HostId> {
        let serving = self.presence() == Presence::Serving;
        self.state.lock().table.responsible_hosts(serving, dropped, Instant::now())
    }

    /// Looks at the clock, so that a pause of this host is noticed before anybody is taken for dead.
    pub(crate) fn awake(&self) {
        self.state.lock().table.tick(Instant::now());
    }

    fn digest(&self, cell: &str, configuration: Revision, facts: u64, now: Instant) -> Digest {
        let table = &mut self.state.lock().table;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        table.record_sent(sequence, now);
        let reachable = table.reachable(now);
        // While few are known, this host may be a newcomer itself: then it names them each time.
        let count = if sequence.is_multiple_of(NAMED_EVERY) || sequence < NAMED_EVERY { NAMED } else { 0 };
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

    /// Where the next digest goes: all neighbours, a few hosts of each other data centre, and, so that hosts
    /// find each other (again), the seeds, those named by others and one dead host.
    fn targets(&self, seeds: &[SocketAddr], now: Instant) -> Vec<SocketAddr> {
        let Hosts { table, named, .. } = &*self.state.lock();
        let mut far: HashMap<&DataCentreId, Vec<SocketAddr>> = HashMap::new();
        let mut targets = Vec::new();
        let mut known = Vec::new();
        for member in table.reachable(now) {
            known.push(member.peer.peers);
            if member.peer.data_centre == self.own.data_centre {
                targets.push(member.peer.peers);
            } else {
                far.entry(&member.peer.data_centre).or_default().push(member.peer.peers);
            }
        }
        let mut rng = rand::rng();
        let sequence = self.sequence.load(Ordering::Relaxed);
        if sequence < NAMED_EVERY || sequence.is_multiple_of(FAR_EVERY) {
            for addresses in far.values() {
                targets.extend(addresses.choose_multiple(&mut rng, FAR));
            }
        }
        let dead: Vec<SocketAddr> = table
            .iter()
            .filter(|member| table.state(&member.peer.host, now) == Some(HostState::Dead))
            .map(|member| member.peer.peers)
            .collect();
        targets.extend(dead.choose(&mut rng));
        let strangers = seeds.iter().chain(named.values()).filter(|address| !known.contains(address));
        targets.extend(strangers.filter(|address| **address != self.own.peers));
        targets
    }

    fn hear(&self, digest: &Digest, now: Instant) -> bool {
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

    /// Hosts whose state is not what it was at the last call.
    fn news(&self, now: Instant) -> Vec<(HostId, HostState)> {
        let Hosts { table, seen, .. } = &mut *self.state.lock();
        table.remove_expired(now);
        let mut news = Vec::new();
        for member in table.iter() {
            let host = &member.peer.host;
            let Some(state) = table.state(host, now) else { continue };
            if seen.insert(host.clone(), state) != Some(state) {
                news.push((host.clone(), state));
            }
        }
        news
    }
}

/// Looks at the clock until the process ends.
pub(crate) async fn stay_awake(shared: Arc<Shared>) {
    loop {
        shared.membership.awake();
        tokio::time::sleep(shared.settings.membership.heartbeat / 2).await;
    }
}

/// Sends digests until the process ends.
pub(crate) async fn speak(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut heartbeat = tokio::time::interval(shared.settings.membership.heartbeat);
    heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = heartbeat.tick() => {}
            () = shared.membership.speak.notified() => tokio::time::sleep(SPACING).await,
        }
        say(&shared, &socket).await;
        note_news(&shared);
    }
}

async fn say(shared: &Shared, socket: &UdpSocket) {
    let now = Instant::now();
    let (configuration, facts) = (shared.configuration.revision(), shared.facts.own_version());
    let digest = shared.membership.digest(&shared.settings.cell, configuration, facts, now);
    let Ok(bytes) = wire::seal(shared.links.key(), &digest) else { return };
    for target in shared.membership.targets(&shared.settings.seeds, now) {
        // A lost digest is made up for by the next one.
        let _ = socket.send_to(&bytes, target).await;
        shared.metrics.control("digest_sent", bytes.len());
    }
}

fn note_news(shared: &Shared) {
    let news = shared.membership.news(Instant::now());
    if news.is_empty() {
        return;
    }
    for (host, state) in news {
        match state {
            HostState::Live => events::emit!(shared.log, events::HOST_LIVE, "peer" => host),
            HostState::Leaving => events::emit!(shared.log, events::HOST_LEAVING, "peer" => host),
            HostState::Dead => events::emit!(shared.log, events::HOST_DEAD, "peer" => host),
        }
    }
    shared.membership.changed.notify_waiters();
    shared.look_again.notify_one();
}

/// Hears digests until the process ends.
pub(crate) async fn hear(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; wire::MAX_DATAGRAM];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut buffer).await else { continue };
        shared.metrics.control("digest_received", length);
        match wire::open::<Digest>(shared.links.key(), &buffer[..length]) {
            Ok(digest) if digest.cell == shared.settings.cell => heard(&shared, &digest),
            Ok(_) => {}
            Err(fault) => {
                events::emit!(shared.log, events::MESSAGE_REFUSED, "peer" => peer.to_string(), "why" => fault.to_string());
            }
        }
    }
}

fn heard(shared: &Shared, digest: &Digest) {
    let changed = shared.membership.hear(digest, Instant::now());
    if changed {
        note_news(shared);
        // A newcomer hears back at once instead of after a heartbeat.
        shared.membership.speak.notify_one();
    }
    if digest.configuration > shared.configuration.revision() {
        shared.configuration.behind.notify_one();
    }
    let near = digest.from.data_centre == *shared.data_centre();
    if near && shared.facts.is_behind(&digest.from.host, digest.incarnation, digest.facts) {
        shared.facts_behind.notify_one();
    }
}
