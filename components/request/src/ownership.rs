//! Tracks which host owns an idempotency key, and whether this host has owned it ever since the key was created.
//!
//! The owner is chosen among the live hosts of the data centre by rendezvous hashing. Only the owner may run the request
//! of a key, and only if no other host can have run it before without handing over the result.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, SystemTime};

use member::highest_ranked;
use model::HostId;

/// Largest number of past host lists that are kept. Discarding one shortens the time for which ownership is known.
const MAX_HOST_LISTS: usize = 256;

/// Whether this host may run the request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// This host owns the key, and every owner since the key was created was this host or handed over its keys.
    Owned,
    /// Another host owns the key.
    OwnedBy(HostId),
    /// This host owns the key now, but another host may have run the request earlier.
    MayHaveRun,
    /// This host has no quorum or knows no live hosts, so another host may own the key.
    Uncertain,
}

/// Ownership of the keys of one data centre over time, as seen by one host.
#[derive(Clone, Debug)]
pub struct KeyOwnership {
    own: HostId,
    /// Largest difference between the clocks of two hosts, and between the times at which they see a change of the
    /// live hosts.
    skew: Duration,
    /// Lists of live hosts, each with the time from which it applied; the newest is last.
    host_lists: VecDeque<(SystemTime, Vec<HostId>)>,
    /// Start of the period for which this host has recorded its keys without a gap.
    recorded_since: SystemTime,
    has_quorum: bool,
    /// Hosts that handed over all of their keys before they stopped, and when.
    handed_over: HashMap<HostId, SystemTime>,
}

impl KeyOwnership {
    /// Starts recording at `now`, without a quorum.
    pub fn new(own: HostId, skew: Duration, now: SystemTime) -> KeyOwnership {
        KeyOwnership {
            own,
            skew,
            host_lists: VecDeque::new(),
            recorded_since: now,
            has_quorum: false,
            handed_over: HashMap::new(),
        }
    }

    /// Sets the live hosts of the data centre. Returns whether they changed.
    pub fn update_hosts(&mut self, hosts: Vec<HostId>, now: SystemTime) -> bool {
        if self.host_lists.back().is_some_and(|(_, known)| *known == hosts) {
            return false;
        }
        self.host_lists.push_back((now, hosts));
        if self.host_lists.len() > MAX_HOST_LISTS {
            // The owners before the oldest remaining list are no longer known, so the record starts there.
            self.host_lists.pop_front();
            self.recorded_since = self.recorded_since.max(self.host_lists[0].0);
        }
        true
    }

    /// Sets whether a quorum has recently received messages from this host. Without a quorum another host may take over
    /// its keys, so the record restarts when the quorum returns. Returns whether the value changed.
    pub fn update_quorum(&mut self, has_quorum: bool, now: SystemTime) -> bool {
        let changed = self.has_quorum != has_quorum;
        if changed && has_quorum {
            self.recorded_since = now;
        }
        self.has_quorum = has_quorum;
        changed
    }

    /// Records that a stopping host has handed over all of its keys that this host owns from now on.
    pub fn record_handover(&mut self, from: HostId, now: SystemTime) {
        self.handed_over.insert(from, now);
    }

    /// The current live hosts.
    pub fn hosts(&self) -> &[HostId] {
        self.host_lists.back().map(|(_, hosts)| hosts.as_slice()).unwrap_or_default()
    }

    /// Whether this host may run the request with a key that was created at `created`.
    pub fn status(&self, key: &str, created: SystemTime) -> KeyStatus {
        let Some((_, hosts)) = self.host_lists.back() else { return KeyStatus::Uncertain };
        match owner(key, hosts) {
            Some(host) if host == self.own => {}
            Some(host) => return KeyStatus::OwnedBy(host.to_owned()),
            None => return KeyStatus::Uncertain,
        }
        if !self.has_quorum {
            return KeyStatus::Uncertain;
        }
        // The clock of another host, or its list of live hosts, may lag behind by the skew.
        let from = created.checked_sub(self.skew).unwrap_or(SystemTime::UNIX_EPOCH);
        if from < self.recorded_since {
            return KeyStatus::MayHaveRun;
        }
        let owned_throughout = self.host_lists_since(from).all(|(began, hosts)| match owner(key, hosts) {
            Some(host) => host == self.own || self.handed_over.get(host).is_some_and(|at| began < at),
            None => false,
        });
        if owned_throughout { KeyStatus::Owned } else { KeyStatus::MayHaveRun }
    }

    /// The host lists that applied at `from` or later.
    fn host_lists_since(&self, from: SystemTime) -> impl Iterator<Item = &(SystemTime, Vec<HostId>)> + '_ {
        let ends = self.host_lists.iter().skip(1).map(|(began, _)| Some(*began)).chain([None]);
        let applicable = self.host_lists.iter().zip(ends).filter(move |(_, end)| end.is_none_or(|end| end >= from));
        applicable.map(|(list, _)| list)
    }
}

fn owner<'a>(key: &str, hosts: &'a [HostId]) -> Option<&'a str> {
    highest_ranked(key, hosts.iter().map(String::as_str))
}
