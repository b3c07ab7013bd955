//! The platform's list of hosts, which lags behind reality. One host of each data centre reads it from the platform;
//! the others read it from that host.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::{HostId, WorkerId};
use parking_lot::Mutex;
use wire::{Answer, HostKind, ListedHost, Request};

use crate::shared::Shared;

/// Time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    version: u64,
    hosts: BTreeMap<HostId, ListedHost>,
    /// When this host first noticed that a host is missing from the list.
    missing_since: HashMap<HostId, Instant>,
}

/// The most recently read list.
#[derive(Default)]
pub(crate) struct Listing {
    state: Mutex<State>,
}

impl Listing {
    pub(crate) fn version(&self) -> u64 {
        self.state.lock().version
    }

    pub(crate) fn all(&self) -> (u64, Vec<(HostId, ListedHost)>) {
        let state = self.state.lock();
        (state.version, state.hosts.iter().map(|(name, host)| (name.clone(), host.clone())).collect())
    }

    /// Replaces the list, unless `version` is not newer. Returns whether the list was replaced. Hosts whose entries are
    /// `unreadable` stay as they were: their entries don't tell that they are gone.
    fn replace(&self, version: u64, hosts: Vec<(HostId, ListedHost)>, unreadable: &[HostId], now: Instant) -> bool {
        let mut state = self.state.lock();
        if version <= state.version {
            return false;
        }
        let mut hosts: BTreeMap<HostId, ListedHost> = hosts.into_iter().collect();
        for (name, host) in unreadable.iter().filter_map(|name| state.hosts.get_key_value(name)) {
            hosts.entry(name.clone()).or_insert_with(|| host.clone());
        }
        let missing: Vec<HostId> = state.hosts.keys().filter(|name| !hosts.contains_key(*name)).cloned().collect();
        for name in missing {
            state.missing_since.entry(name).or_insert(now);
        }
        state.missing_since.retain(|name, _| !hosts.contains_key(name));
        state.version = version;
        state.hosts = hosts;
        true
    }

    pub(crate) fn get(&self, name: &str) -> Option<ListedHost> {
        self.state.lock().hosts.get(name).cloned()
    }

    /// The workers of a data centre.
    pub(crate) fn workers(&self, data_centre: &str) -> Vec<(WorkerId, ListedHost)> {
        let state = self.state.lock();
        let workers =
            state.hosts.iter().filter(|(_, host)| host.kind == HostKind::Worker && host.data_centre == data_centre);
        workers.map(|(name, host)| (name.clone(), host.clone())).collect()
    }

    /// The workers of all data centres.
    pub(crate) fn all_workers(&self) -> Vec<(WorkerId, ListedHost)> {
        let state = self.state.lock();
        let workers = state.hosts.iter().filter(|(_, host)| host.kind == HostKind::Worker);
        workers.map(|(name, host)| (name.clone(), host.clone())).collect()
    }

    /// Whether a host that was on the list has been missing from it for longer than `time`.
    pub(crate) fn missing_for(&self, name: &str, time: Duration, now: Instant) -> bool {
        let state = self.state.lock();
        state.missing_since.get(name).is_some_and(|since| now.saturating_duration_since(*since) > time)
    }

    /// Whether the list has been read at least once.
    pub(crate) fn is_known(&self) -> bool {
        self.version() > 0
    }
}

/// Keeps the list up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let changed = if !shared.listing.is_known() || shared.membership.is_responsible("list") {
            read_from_platform(&shared).await
        } else {
            read_from_peer(&shared).await
        };
        if changed {
            events::emit!(shared.log, events::HOST_LIST_CHANGED, "hosts" => shared.listing.all().1.len());
            crate::held_workers::refresh_leaving(&shared);
            shared.schedule_needed.notify_one();
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn read_from_platform(shared: &Shared) -> bool {
    let list = shared.lister.list(shared.listing.version()).await;
    shared.record_platform_result(&list);
    let Ok(list) = list else { return false };
    for entry in &list.invalid {
        events::emit!(shared.log, events::HOST_ENTRY_INVALID, "name" => entry.name.as_deref().map(events::excerpt),
            "why" => events::excerpt(&entry.reason), "version" => list.version);
    }
    let unreadable: Vec<HostId> = list.invalid.into_iter().filter_map(|entry| entry.name).collect();
    let hosts = list.hosts.into_iter().map(|host| (host.name.clone(), to_listed(host)));
    shared.listing.replace(list.version, hosts.collect(), &unreadable, Instant::now())
}

fn to_listed(host: store::Host) -> ListedHost {
    let kind = match host.kind {
        store::HostKind::Worker => HostKind::Worker,
        store::HostKind::Entry => HostKind::Entry,
    };
    ListedHost {
        kind,
        data_centre: host.data_centre,
        rack: host.rack,
        address: host.address,
        capacity: host.capacity,
        leaving: host.leaving,
    }
}

async fn read_from_peer(shared: &Shared) -> bool {
    let Some(reader) = shared.membership.responsible("list") else { return false };
    let Some(member) = shared.membership.get(&reader) else { return false };
    let answer = shared.peer_client.call(member.peer.peers, &Request::List { since: shared.listing.version() }).await;
    let Ok(Answer::List(version, hosts)) = answer else { return false };
    shared.listing.replace(version, hosts, &[], Instant::now())
}
