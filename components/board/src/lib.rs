//! A versioned map whose readers fetch only what changed since the version they have.
//!
//! The same mechanism carries two things between entry hosts: the configuration, whose versions are
//! revisions of the platform's key-value service, and the facts that each host publishes about the workers
//! that it holds, whose versions that host counts itself. Nothing here performs I/O or reads a clock.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Version of a board; 0 is the empty board.
pub type Version = u64;

/// Removed keys remembered for readers that are behind; older ones get the whole board.
pub const TOMBSTONES: usize = 4096;

/// A map that remembers at which version each key last changed.
#[derive(Clone, Debug)]
pub struct Board<K: Ord, V> {
    items: BTreeMap<K, (V, Version)>,
    removed: BTreeMap<K, Version>,
    version: Version,
    /// Readers at a version below this one may have missed a removal.
    horizon: Version,
}

/// What a reader needs to come from `since` to `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<K, V> {
    /// The version that the reader had; 0 when `items` is the whole board.
    pub since: Version,
    /// The version that the reader has after applying this.
    pub version: Version,
    /// Changed keys with the version of each change.
    pub items: Vec<(K, V, Version)>,
    /// Removed keys with the version of each removal.
    pub removed: Vec<(K, Version)>,
}

impl<K: Ord + Clone, V: Clone> Default for Board<K, V> {
    fn default() -> Self {
        Board { items: BTreeMap::new(), removed: BTreeMap::new(), version: 0, horizon: 0 }
    }
}

impl<K: Ord + Clone, V: Clone> Board<K, V> {
    /// The newest version that this board holds.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.items.get(key).map(|(value, _)| value)
    }

    /// The version at which a key last changed.
    pub fn changed_at(&self, key: &K) -> Option<Version> {
        self.items.get(key).map(|(_, version)| *version)
    }

    /// All keys and values, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.items.iter().map(|(key, (value, _))| (key, value))
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Sets a key under the next version, unless it has that value already. Tells whether it changed.
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

    /// Removes a key under the next version. Tells whether it was there.
    pub fn remove(&mut self, key: &K) -> bool {
        if !self.items.contains_key(key) {
            return false;
        }
        let next = self.version + 1;
        self.remove_at(key, next);
        true
    }

    /// Sets a key at a version given from outside. A change older than the one known is ignored.
    pub fn set_at(&mut self, key: K, value: V, version: Version) {
        if self.known_at(&key) >= version {
            return;
        }
        self.removed.remove(&key);
        self.items.insert(key, (value, version));
        self.version = self.version.max(version);
    }

    /// Removes a key at a version given from outside. A removal older than the change known is ignored.
    pub fn remove_at(&mut self, key: &K, version: Version) {
        if self.known_at(key) >= version {
            return;
        }
        self.items.remove(key);
        self.removed.insert(key.clone(), version);
        self.version = self.version.max(version);
        self.forget_old_removals();
    }

    /// States that all changes up to `version` have been applied, also where none touched a key here.
    pub fn advance(&mut self, version: Version) {
        self.version = self.version.max(version);
    }

    /// What changed after `since`.
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

    /// Applies what a peer sent. A delta that would leave a gap, or that is older, changes nothing.
    /// Tells whether it was applied.
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

    fn known_at(&self, key: &K) -> Version {
        let set = self.items.get(key).map_or(0, |(_, at)| *at);
        let removed = self.removed.get(key).copied().unwrap_or(0);
        set.max(removed)
    }

    fn forget_old_removals(&mut self) {
        while self.removed.len() > TOMBSTONES {
            let Some((oldest, at)) = self.removed.iter().min_by_key(|(_, at)| **at) else { return };
            let (oldest, at) = (oldest.clone(), *at);
            self.removed.remove(&oldest);
            self.horizon = self.horizon.max(at);
        }
    }
}
