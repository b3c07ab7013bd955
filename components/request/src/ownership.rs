//! Which host remembers an unrepeatable key, and whether it has remembered it for all of the key's life.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, SystemTime};

use member::highest_ranked;
use model::HostId;

/// Views of the live hosts older than a key can be are forgotten; this many are kept at the most.
const MOST_VIEWS: usize = 256;

/// Whether this host may run the request of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// It is the key's home, and was for all of the key's life.
    Owned,
    /// Another host is.
    OwnedBy(HostId),
    /// It is the key's home now, but another one may have run the request before.
    MayHaveRun,
    /// It has no authority now: its peers may replace it.
    Uncertain,
}

/// The homes of keys within one data centre, as one host sees them over time.
#[derive(Clone, Debug)]
pub struct KeyOwnership {
    own: HostId,
    /// How far the clocks and views of two hosts may differ.
    skew: Duration,
    /// Views with their beginnings, the newest last.
    views: VecDeque<(SystemTime, Vec<HostId>)>,
    /// Since when this host has had its memory without a gap.
    since: SystemTime,
    certain: bool,
    /// Hosts that handed all their keys over before they stopped, and when.
    handed: HashMap<HostId, SystemTime>,
}

impl KeyOwnership {
    /// A host that begins to remember at `now`.
    pub fn new(own: HostId, skew: Duration, now: SystemTime) -> KeyOwnership {
        KeyOwnership { own, skew, views: VecDeque::new(), since: now, certain: false, handed: HashMap::new() }
    }

    /// Takes in the live hosts of the data centre. Tells whether they changed.
    pub fn update_hosts(&mut self, hosts: Vec<HostId>, now: SystemTime) -> bool {
        if self.views.back().is_some_and(|(_, known)| *known == hosts) {
            return false;
        }
        self.views.push_back((now, hosts));
        if self.views.len() > MOST_VIEWS {
            // What the forgotten view said is not known any more, so the memory counts from its end.
            self.views.pop_front();
            self.since = self.since.max(self.views[0].0);
        }
        true
    }

    /// Takes in whether a quorum has heard this host lately. While it has not, another host may take its place,
    /// so that afterwards the memory counts as new. Tells whether that changed.
    pub fn update_quorum(&mut self, certain: bool, now: SystemTime) -> bool {
        let changed = self.certain != certain;
        if changed && certain {
            self.since = now;
        }
        self.certain = certain;
        changed
    }

    /// Takes in that a host that stops has handed over all its keys whose home this one is now.
    pub fn record_handover(&mut self, from: HostId, now: SystemTime) {
        self.handed.insert(from, now);
    }

    /// The newest view of the hosts.
    pub fn hosts(&self) -> &[HostId] {
        self.views.back().map(|(_, hosts)| hosts.as_slice()).unwrap_or_default()
    }

    /// The standing of this host for a key that was made at `created`.
    pub fn status(&self, key: &str, created: SystemTime) -> KeyStatus {
        let Some((_, hosts)) = self.views.back() else { return KeyStatus::Uncertain };
        match home(key, hosts) {
            Some(host) if host == self.own => {}
            Some(host) => return KeyStatus::OwnedBy(host.to_owned()),
            None => return KeyStatus::Uncertain,
        }
        if !self.certain {
            return KeyStatus::Uncertain;
        }
        // Another host's clock or view may lag by the skew.
        let from = created.checked_sub(self.skew).unwrap_or(SystemTime::UNIX_EPOCH);
        if from < self.since {
            return KeyStatus::MayHaveRun;
        }
        let mine_throughout = self.views_since(from).all(|(began, hosts)| match home(key, hosts) {
            Some(host) => host == self.own || self.handed.get(host).is_some_and(|at| began < at),
            None => false,
        });
        if mine_throughout { KeyStatus::Owned } else { KeyStatus::MayHaveRun }
    }

    /// Views that were in force at `from` or later.
    fn views_since(&self, from: SystemTime) -> impl Iterator<Item = &(SystemTime, Vec<HostId>)> + '_ {
        let ends = self.views.iter().skip(1).map(|(began, _)| Some(*began)).chain([None]);
        let in_force = self.views.iter().zip(ends).filter(move |(_, end)| end.is_none_or(|end| end >= from));
        in_force.map(|(view, _)| view)
    }
}

fn home<'a>(key: &str, hosts: &'a [HostId]) -> Option<&'a str> {
    highest_ranked(key, hosts.iter().map(String::as_str))
}
