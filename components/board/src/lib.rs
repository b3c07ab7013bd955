//! A versioned map whose readers fetch only what changed since the version they have.
//!
//! Entry hosts replicate two things with it: the configuration, versioned by the revisions of the platform's
//! key-value service, and the facts that each host publishes about its workers, versioned by a counter of that
//! host. Nothing here performs I/O or reads a clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Version of a map; 0 is the version of an empty map.
pub type Version = u64;

/// Most removed keys that are remembered. A reader that misses an older removal gets the whole map.
pub const MAX_TOMBSTONES: usize = 4096;

/// A map that records the version at which each key last changed.
#[derive(Clone, Debug)]
pub struct VersionedMap<K: Ord, V> {
    items: BTreeMap<K, (V, Version)>,
    removed: BTreeMap<K, Version>,
    version: Version,
    /// Readers at an earlier version may have missed a removal whose tombstone is gone.
    horizon: Version,
}

/// The changes that bring a reader from version `since` to `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<K, V> {
    /// The version that the reader has; 0 if `items` is the whole map.
    pub since: Version,
    /// The version that the reader has after applying this.
    pub version: Version,
    /// Changed keys with the version of each change.
    pub items: Vec<(K, V, Version)>,
    /// Removed keys with the version of each removal.
    pub removed: Vec<(K, Version)>,
}

impl<K: Ord + Clone, V: Clone> Default for VersionedMap<K, V> {
    fn default() -> Self {
        VersionedMap { items: BTreeMap::new(), removed: BTreeMap::new(), version: 0, horizon: 0 }
    }
}

impl<K: Ord + Clone, V: Clone> VersionedMap<K, V> {
    /// The newest version that this map has seen.
    pub fn version(&self) -> Version {
        self.version
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.items.get(key).map(|(value, _)| value)
    }

    /// The version at which a key last changed.
    pub fn changed_at(&self, key: &K) -> Option<Version> {
        self.items.get(key).map(|(_, version)| *version)
    }

    /// Iterates over all keys and values in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.items.iter().map(|(key, (value, _))| (key, value))
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Sets a key at the next version, unless it already has that value. Returns whether the value changed.
    pub fn set(&mut self, key: K, value: V) -> bool
    where
        V: PartialEq,
    {
        if self.get(&key) == Some(&value) {
            return false;
        }
        let next = self.version + 1;
        self.set_at(key, value, next);
        true
    }

    /// Removes a key at the next version. Returns whether the key existed.
    pub fn remove(&mut self, key: &K) -> bool {
        if !self.items.contains_key(key) {
            return false;
        }
        let next = self.version + 1;
        self.remove_at(key, next);
        true
    }

    /// Sets a key at the given version. Does nothing if a change of the key at that version or later is known.
    pub fn set_at(&mut self, key: K, value: V, version: Version) {
        if self.last_changed_at(&key) >= version {
            return;
        }
        self.removed.remove(&key);
        self.items.insert(key, (value, version));
        self.version = self.version.max(version);
    }

    /// Removes a key at the given version. Does nothing if a change of the key at that version or later is known.
    pub fn remove_at(&mut self, key: &K, version: Version) {
        if self.last_changed_at(key) >= version {
            return;
        }
        self.items.remove(key);
        self.removed.insert(key.clone(), version);
        self.version = self.version.max(version);
        self.prune_tombstones();
    }

    /// Records that all changes up to `version` have been applied, even if they changed no key of this map.
    pub fn advance(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// Returns the changes after `since`, or the whole map if the removals since then are no longer known or `since` is
    /// newer than this map.
    pub fn delta(&self, since: Version) -> Delta<K, V> {
        let since = if since < self.horizon || since > self.version { 0 } else { since };
        let items = self.items.iter().filter(|(_, (_, at))| *at > since);
        let removed = self.removed.iter().filter(|(_, at)| since > 0 && **at > since);
        Delta {
            since,
            version: self.version,
            items: items.map(|(key, (value, at))| (key.clone(), value.clone(), *at)).collect(),
            removed: removed.map(|(key, at)| (key.clone(), *at)).collect(),
        }
    }

    /// Applies a delta and returns whether it was applied. A delta that is not newer than this map, or that starts
    /// after this map's version and so would leave a gap, changes nothing.
    pub fn apply(&mut self, delta: Delta<K, V>) -> bool {
        if delta.version <= self.version || delta.since > self.version {
            return false;
        }
        if delta.since == 0 {
            self.replace(delta);
            return true;
        }
        for (key, version) in delta.removed {
            self.remove_at(&key, version);
        }
        for (key, value, version) in delta.items {
            self.set_at(key, value, version);
        }
        self.advance(delta.version);
        true
    }

    fn replace(&mut self, whole: Delta<K, V>) {
        self.items = whole.items.into_iter().map(|(key, value, at)| (key, (value, at))).collect();
        self.removed.clear();
        self.version = whole.version;
        self.horizon = whole.version;
    }

    fn last_changed_at(&self, key: &K) -> Version {
        let set = self.items.get(key).map_or(0, |(_, at)| *at);
        let removed = self.removed.get(key).copied().unwrap_or(0);
        set.max(removed)
    }

    fn prune_tombstones(&mut self) {
        while self.removed.len() > MAX_TOMBSTONES {
            let Some((oldest, at)) = self.removed.iter().min_by_key(|(_, at)| **at) else { return };
            let (oldest, at) = (oldest.clone(), *at);
            self.removed.remove(&oldest);
            self.horizon = self.horizon.max(at);
        }
    }
}
