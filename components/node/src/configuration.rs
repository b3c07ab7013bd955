//! The configuration in force at this host: a replica of all records below the cell's prefix, as of one revision
//! that never decreases.
//!
//! One host of each data centre watches the platform. The others pull missing changes from peers, also from those
//! in other data centres, so that a host that can't reach the platform still converges.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use board::{Delta, VersionedMap};
use claim::Claim;
use model::workload::{Progress, Record, Versioned};
use model::{DataCentreId, Partition, Revision, WorkerId, WorkloadId};
use parking_lot::Mutex;
use rand::Rng;
use store::{Purpose, WatchUpdate};
use tokio::sync::{Notify, watch};
use wire::{Answer, ConfigKey, ConfigValue, Request};

use crate::keys::{self, RecordKey, Team};
use crate::shared::Shared;

/// Delay after a failed call to the platform. Doubled after each further failure, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Minimum time between two pulls.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(50);
/// A watch that delivers nothing for this long, not even a progress notification, is reopened.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a host that doesn't watch checks whether it should.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The parsed records.
#[derive(Default)]
struct Records {
    workloads: BTreeMap<WorkloadId, Arc<Versioned>>,
    progress: BTreeMap<(DataCentreId, WorkloadId), Progress>,
    claims: BTreeMap<(DataCentreId, Partition), (Claim, Revision)>,
    teams: BTreeMap<String, (Team, Revision)>,
    drains: BTreeSet<WorkerId>,
}

#[derive(Default)]
struct State {
    board: VersionedMap<ConfigKey, ConfigValue>,
    records: Records,
}

/// The configuration in force at this host.
pub(crate) struct Configuration {
    state: Mutex<State>,
    revision: watch::Sender<Revision>,
    /// Notified when a peer has a higher revision.
    pub(crate) pull_needed: Notify,
}

impl Configuration {
    pub(crate) fn new() -> Configuration {
        Configuration { state: Mutex::default(), revision: watch::Sender::new(0), pull_needed: Notify::new() }
    }

    /// The revision in force; 0 before the first configuration was read.
    pub(crate) fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Waits until a revision is in force at this host. Returns false after `timeout`.
    pub(crate) async fn wait_for_revision(&self, revision: Revision, timeout: Duration) -> bool {
        let mut revisions = self.revision.subscribe();
        let wait_for_revision = revisions.wait_for(|current| *current >= revision);
        matches!(tokio::time::timeout(timeout, wait_for_revision).await, Ok(Ok(_)))
    }

    pub(crate) fn delta(&self, since: Revision) -> Delta<ConfigKey, ConfigValue> {
        self.state.lock().board.delta(since)
    }

    /// Applies changes from the watch or from a peer. Returns what they affected, or `None` if they were not
    /// applied because they are not newer than what this host has or leave a gap after it.
    fn apply(&self, delta: Delta<ConfigKey, ConfigValue>) -> Option<AppliedChanges> {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let is_complete = delta.since == 0;
        let mut keys: BTreeSet<ConfigKey> = delta.items.iter().map(|(key, _, _)| key.clone()).collect();
        keys.extend(delta.removed.iter().map(|(key, _)| key.clone()));
        if is_complete {
            keys.extend(state.board.iter().map(|(key, _)| key.clone()));
        }
        if !state.board.apply(delta) {
            return None;
        }
        let mut applied = AppliedChanges::default();
        for key in keys {
            update_record(state, &key, &mut applied);
        }
        self.revision.send_replace(state.board.version());
        Some(applied)
    }

    pub(crate) fn workload(&self, name: &str) -> Option<Arc<Versioned>> {
        self.state.lock().records.workloads.get(name).cloned()
    }

    pub(crate) fn workloads(&self) -> Vec<Arc<Versioned>> {
        self.state.lock().records.workloads.values().cloned().collect()
    }

    pub(crate) fn progress(&self, data_centre: &DataCentreId, workload: &str) -> Option<Progress> {
        self.state.lock().records.progress.get(&(data_centre.clone(), workload.to_owned())).cloned()
    }

    pub(crate) fn claim(&self, data_centre: &DataCentreId, partition: Partition) -> Option<(Claim, Revision)> {
        self.state.lock().records.claims.get(&(data_centre.clone(), partition)).cloned()
    }

    pub(crate) fn team(&self, name: &str) -> Option<(Team, Revision)> {
        self.state.lock().records.teams.get(name).cloned()
    }

    pub(crate) fn teams(&self) -> Vec<(String, Team, Revision)> {
        let state = self.state.lock();
        state.records.teams.iter().map(|(name, (team, revision))| (name.clone(), team.clone(), *revision)).collect()
    }

    pub(crate) fn is_drained(&self, worker: &str) -> bool {
        self.state.lock().records.drains.contains(worker)
    }

    /// All keys with their revisions and sizes.
    pub(crate) fn keys(&self) -> Vec<(ConfigKey, Revision, usize)> {
        let state = self.state.lock();
        let sized = state.board.iter().map(|(key, value)| (key.clone(), value.len()));
        sized.map(|(key, size)| (key.clone(), state.board.changed_at(&key).unwrap_or(0), size)).collect()
    }
}

/// What a set of changes affected.
#[derive(Default)]
struct AppliedChanges {
    workloads: Vec<WorkloadId>,
    drains: bool,
    unreadable: Vec<(ConfigKey, String)>,
}

/// Parses the record of one key again. If it can't be parsed, the last good record stays in force.
fn update_record(state: &mut State, key: &ConfigKey, applied: &mut AppliedChanges) {
    let Some(record_key) = RecordKey::parse(key) else { return };
    let value = state.board.get(key);
    let revision = state.board.changed_at(key).unwrap_or(0);
    let records = &mut state.records;
    let outcome = match record_key {
        RecordKey::Workload(name) => {
            applied.workloads.push(name.clone());
            let read = |record: Record| Arc::new(Versioned { record, revision });
            update_map(&mut records.workloads, name, value, read)
        }
        RecordKey::Progress(data_centre, name) => {
            update_map(&mut records.progress, (data_centre, name), value, |progress| progress)
        }
        RecordKey::Claim(data_centre, partition) => {
            update_map(&mut records.claims, (data_centre, partition), value, |claim| (claim, revision))
        }
        RecordKey::Team(name) => update_map(&mut records.teams, name, value, |team| (team, revision)),
        RecordKey::Drain(worker) => {
            applied.drains = true;
            if value.is_some() {
                records.drains.insert(worker);
            } else {
                records.drains.remove(&worker);
            }
            Ok(())
        }
    };
    if let Err(reason) = outcome {
        applied.unreadable.push((key.clone(), reason));
    }
}

fn update_map<K: Ord, R: serde::de::DeserializeOwned, V>(
    map: &mut BTreeMap<K, V>,
    key: K,
    value: Option<&ConfigValue>,
    read: impl Fn(R) -> V,
) -> Result<(), String> {
    match value {
        Some(bytes) => {
            map.insert(key, read(keys::decode(bytes)?));
        }
        None => {
            map.remove(&key);
        }
    }
    Ok(())
}

/// Keeps the configuration up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    tokio::spawn(pull_from_peers(shared.clone()));
    let mut backoff = MIN_BACKOFF;
    loop {
        if !should_watch(&shared) {
            tokio::time::sleep(WATCH_CHECK_INTERVAL).await;
            continue;
        }
        let opened = watch_platform(&shared).await;
        backoff = if opened { MIN_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        // Randomized, so that the watchers of all data centres don't reconnect at the same time after an outage.
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
    }
}

/// Whether this host watches the platform: as the responsible host of its data centre, or because it has no
/// configuration yet.
fn should_watch(shared: &Shared) -> bool {
    shared.configuration.revision() == 0 || shared.membership.is_responsible("configuration")
}

/// Watches the platform until the watch ends or another host becomes responsible. Returns whether the watch was
/// opened.
async fn watch_platform(shared: &Arc<Shared>) -> bool {
    let prefix = keys::cell_prefix(&shared.settings.cell);
    if shared.configuration.revision() == 0 && !read_all(shared, &prefix).await {
        return false;
    }
    let from = shared.configuration.revision() + 1;
    let opened = shared.store.watch(Purpose::Configuration, &prefix, from).await;
    shared.record_platform_result(&opened);
    let Ok(mut changes) = opened else {
        log_failure(shared, "watch", opened.err());
        return false;
    };
    while should_watch(shared) {
        match tokio::time::timeout(WATCH_TIMEOUT, changes.recv()).await {
            Ok(Some(WatchUpdate::Events(events, revision))) => {
                shared.platform_reachable.store(true, std::sync::atomic::Ordering::Relaxed);
                apply_events(shared, &prefix, events, revision);
            }
            Ok(Some(WatchUpdate::Compacted)) => return read_all(shared, &prefix).await,
            Ok(None) | Err(_) => break,
        }
    }
    events::emit!(shared.log, events::WATCH_ENDED, "revision" => shared.configuration.revision());
    true
}

fn apply_events(shared: &Arc<Shared>, prefix: &str, events: Vec<store::Event>, revision: Revision) {
    let since = shared.configuration.revision();
    if revision <= since {
        return;
    }
    let mut delta = Delta { since, version: revision, items: Vec::new(), removed: Vec::new() };
    for event in events {
        let Some(key) = event.key.strip_prefix(prefix).map(str::to_owned) else { continue };
        match event.value {
            Some(value) => delta.items.push((key, value, event.revision)),
            None => delta.removed.push((key, event.revision)),
        }
    }
    apply_delta(shared, delta);
}

async fn read_all(shared: &Arc<Shared>, prefix: &str) -> bool {
    let range = shared.store.range(Purpose::Configuration, prefix).await;
    shared.record_platform_result(&range);
    let Ok(range) = range else {
        log_failure(shared, "range", range.err());
        return false;
    };
    let mut items = Vec::with_capacity(range.entries.len());
    for entry in range.entries {
        if let Some(key) = entry.key.strip_prefix(prefix) {
            items.push((key.to_owned(), entry.value, entry.mod_revision));
        }
    }
    apply_delta(shared, Delta { since: 0, version: range.revision, items, removed: Vec::new() });
    true
}

fn log_failure(shared: &Shared, call: &str, error: Option<store::StoreError>) {
    let reason = error.map(|error| error.to_string()).unwrap_or_default();
    events::emit!(shared.log, events::PLATFORM_FAILED, "call" => call, "why" => reason);
}

/// Applies changes and notifies the modules that depend on them.
fn apply_delta(shared: &Arc<Shared>, delta: Delta<ConfigKey, ConfigValue>) {
    let Some(applied) = shared.configuration.apply(delta) else { return };
    for (key, reason) in &applied.unreadable {
        events::emit!(shared.log, events::RECORD_UNREADABLE, "key" => key, "why" => reason);
    }
    events::emit!(shared.log, events::CONFIG_CHANGED, "revision" => shared.configuration.revision());
    crate::owner::apply_records(shared, &applied.workloads);
    if applied.drains {
        crate::held_workers::refresh_leaving(shared);
    }
    shared.membership.send_now.notify_one();
    shared.schedule_needed.notify_one();
}

async fn pull_from_peers(shared: Arc<Shared>) {
    loop {
        shared.configuration.pull_needed.notified().await;
        pull(&shared).await;
        tokio::time::sleep(MIN_PULL_INTERVAL).await;
    }
}

/// Pulls changes from the peer with the highest revision, preferring hosts of this data centre. Tries the next
/// peer if one doesn't answer.
async fn pull(shared: &Arc<Shared>) {
    let since = shared.configuration.revision();
    let mut newer_peers = shared.membership.reachable();
    newer_peers.retain(|member| member.configuration > since);
    newer_peers.sort_by_key(|member| {
        let remote = member.peer.data_centre != *shared.data_centre();
        (std::cmp::Reverse(member.configuration), remote)
    });
    for member in newer_peers {
        let answer = shared.peer_client.call(member.peer.peers, &Request::Configuration { since }).await;
        if let Ok(Answer::Configuration(delta)) = answer {
            apply_delta(shared, delta);
            return;
        }
    }
}
