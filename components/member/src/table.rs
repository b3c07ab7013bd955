//! The failure detector: tracks the other entry hosts by the digests they send.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{DataCentreId, HostId, Incarnation, Revision};

use crate::digest::{Digest, HostHash, LastHeard, Peer, Presence, hash_host};

/// Timeouts of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct DetectorLimits {
    /// A host from which no digest arrives for this long is considered dead.
    pub dead_after: Duration,
    /// The same for hosts of other data centres, which send digests less often.
    pub remote_dead_after: Duration,
    /// This host loses its authority when its peers have not echoed its digests for this long. Must be shorter than
    /// `dead_after`, so that the authority ends before a peer can take over.
    pub echo_timeout: Duration,
    /// Hosts that have been silent for this long are removed from the table.
    pub forget_after: Duration,
    /// A longer interval between two ticks means that this host itself was paused.
    pub pause_threshold: Duration,
}

impl Default for DetectorLimits {
    fn default() -> Self {
        DetectorLimits {
            dead_after: Duration::from_millis(2000),
            remote_dead_after: Duration::from_millis(8000),
            echo_timeout: Duration::from_millis(1000),
            forget_after: Duration::from_secs(3600),
            pause_threshold: Duration::from_millis(1000),
        }
    }
}

/// The state of a host, as seen by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// Recently heard from, and in service.
    Live,
    /// Recently heard from, and shutting down.
    Leaving,
    /// Silent for too long, or announced that it has stopped.
    Dead,
}

/// What is known about another entry host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name, location and addresses.
    pub peer: Peer,
    /// The newest incarnation heard from.
    pub incarnation: Incarnation,
    /// Sequence number of the last digest.
    pub sequence: u64,
    /// Presence announced in the last digest.
    pub presence: Presence,
    /// When the last digest arrived, or when another host of its data centre last reported hearing it. Shifted by the
    /// pauses of this host.
    pub heard_at: Instant,
    /// Revision of the configuration that the host has applied.
    pub configuration: Revision,
    /// Version of the facts that the host publishes.
    pub facts: u64,
    /// Sequence number of the latest digest of this host that the member reported hearing, and when it was sent.
    pub echo: Option<(u64, Instant)>,
    /// Hashes of the hosts of its data centre that the member reported hearing.
    pub heard_hosts: BTreeSet<HostHash>,
}

/// The other entry hosts known to this host.
#[derive(Debug)]
pub struct MemberTable {
    own: Peer,
    incarnation: Incarnation,
    limits: DetectorLimits,
    members: BTreeMap<HostId, Member>,
    /// When this host sent its latest digests, by sequence number. Dates the echoes by the local clock.
    sent_at: BTreeMap<u64, Instant>,
    /// Time of the last call of [`MemberTable::tick`].
    last_tick: Option<Instant>,
}

const MAX_SENT_RECORDS: usize = 64;

impl MemberTable {
    /// Creates an empty table for the host `own` with the given incarnation.
    pub fn new(own: Peer, incarnation: Incarnation, limits: DetectorLimits) -> MemberTable {
        MemberTable { own, incarnation, limits, members: BTreeMap::new(), sent_at: BTreeMap::new(), last_tick: None }
    }

    /// Advances the failure detector to `now`. Must be called often, because a long interval between two calls is taken
    /// for a pause of this host. The time of a pause is not counted as silence of the other hosts.
    pub fn tick(&mut self, now: Instant) {
        let paused = self.pause_before(now);
        for member in self.members.values_mut() {
            member.heard_at += paused;
        }
        self.last_tick = Some(now);
    }

    /// How long this host has been paused since the last tick; zero if the interval is too short for a pause.
    fn pause_before(&self, now: Instant) -> Duration {
        let Some(last_tick) = self.last_tick else { return Duration::ZERO };
        let paused = now.saturating_duration_since(last_tick);
        if paused > self.limits.pause_threshold { paused } else { Duration::ZERO }
    }

    /// Records that the digest `sequence` of this host is sent at `now`.
    pub fn record_sent(&mut self, sequence: u64, now: Instant) {
        self.sent_at.insert(sequence, now);
        while self.sent_at.len() > MAX_SENT_RECORDS {
            self.sent_at.pop_first();
        }
    }

    /// Processes a received digest. Returns whether the set of live hosts may have changed.
    ///
    /// Digests of an older incarnation, or older than the last one received, are dropped, because UDP may reorder
    /// them.
    pub fn receive(&mut self, digest: &Digest, now: Instant) -> bool {
        if digest.from.host == self.own.host {
            return false;
        }
        let before = self.state(&digest.from.host, now);
        let known = self.members.get(&digest.from.host);
        let is_newer =
            known.is_none_or(|member| (digest.incarnation, digest.sequence) > (member.incarnation, member.sequence));
        if !is_newer {
            return false;
        }
        let echo = self.latest_echo(digest, known);
        let restarted = known.is_some_and(|member| member.incarnation != digest.incarnation);
        let member = Member {
            peer: digest.from.clone(),
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            presence: digest.presence,
            heard_at: now,
            configuration: digest.configuration,
            facts: digest.facts,
            echo,
            heard_hosts: digest.heard.iter().map(|heard| heard.host).collect(),
        };
        self.members.insert(digest.from.host.clone(), member);
        self.refresh_remote_hosts(digest, now);
        restarted || before != self.state(&digest.from.host, now)
    }

    /// Counts a digest from another data centre as a sign of life of all hosts that its sender hears there, because
    /// hosts of other data centres send digests less often.
    fn refresh_remote_hosts(&mut self, digest: &Digest, now: Instant) {
        let data_centre = &digest.from.data_centre;
        if *data_centre == self.own.data_centre {
            return;
        }
        for member in self.members.values_mut().filter(|member| member.peer.data_centre == *data_centre) {
            let host = hash_host(&member.peer.host);
            let life = member.incarnation as u32;
            if digest.heard.iter().any(|heard| heard.host == host && heard.life == life) {
                member.heard_at = now;
            }
        }
    }

    /// The latest echo of this host's digests by the sender of `digest`.
    ///
    /// An echo is dated by the time at which this host sent the echoed digest. So neither a delayed digest nor a pause
    /// of this host can extend its authority.
    fn latest_echo(&self, digest: &Digest, known: Option<&Member>) -> Option<(u64, Instant)> {
        let previous = known.filter(|member| member.incarnation == digest.incarnation).and_then(|member| member.echo);
        let (own, life) = (hash_host(&self.own.host), self.incarnation as u32);
        let heard = digest.heard.iter().find(|heard| heard.host == own && heard.life == life);
        let Some(heard) = heard else { return previous };
        match self.sent_at.get(&heard.sequence) {
            Some(sent_at) => Some((heard.sequence, *sent_at)),
            None => previous,
        }
    }

    /// The state of a host, or `None` if the host is unknown.
    pub fn state(&self, host: &str, now: Instant) -> Option<HostState> {
        if host == self.own.host {
            return Some(HostState::Live);
        }
        let member = self.members.get(host)?;
        let silence = now.saturating_duration_since(member.heard_at + self.pause_before(now));
        Some(match member.presence {
            Presence::Gone => HostState::Dead,
            _ if silence > self.dead_after(member) => HostState::Dead,
            Presence::Leaving => HostState::Leaving,
            Presence::Serving => HostState::Live,
        })
    }

    fn dead_after(&self, member: &Member) -> Duration {
        let same_data_centre = member.peer.data_centre == self.own.data_centre;
        if same_data_centre { self.limits.dead_after } else { self.limits.remote_dead_after }
    }

    /// The entry of a host.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// All entries, including those of dead hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// All other hosts that are not dead.
    pub fn reachable(&self, now: Instant) -> Vec<&Member> {
        let alive = |member: &&Member| self.state(&member.peer.host, now) != Some(HostState::Dead);
        self.members.values().filter(alive).collect()
    }

    /// Sorted names of the live hosts of a data centre. Leaving hosts are left out. This host is included if it belongs
    /// to that data centre and `own_serving` is true.
    pub fn live_hosts_in(&self, data_centre: &DataCentreId, own_serving: bool, now: Instant) -> Vec<HostId> {
        let mut names: Vec<HostId> = self
            .members
            .values()
            .filter(|member| &member.peer.data_centre == data_centre)
            .filter(|member| self.state(&member.peer.host, now) == Some(HostState::Live))
            .map(|member| member.peer.host.clone())
            .collect();
        if own_serving && &self.own.data_centre == data_centre {
            names.push(self.own.host.clone());
        }
        names.sort();
        names
    }

    /// Whether this host may act on responsibilities that others would take over if it died: a quorum of the data
    /// centre, including this host, has echoed a recent digest of this host.
    ///
    /// By the local clock the authority ends before a quorum can consider this host dead, even after a pause.
    /// `delisted` returns true for hosts that the platform has removed from its list; they don't count towards the
    /// quorum.
    pub fn has_authority(&self, delisted: impl Fn(&str) -> bool, now: Instant) -> bool {
        let eligible = self.eligible_members(delisted);
        let echoing = eligible.iter().filter(|member| self.has_fresh_echo(member, now));
        self.is_quorum(echoing.map(|member| member.peer.host.as_str()), &eligible)
    }

    /// Sorted names of the hosts of this data centre among which the responsibility for keys is divided. A silent host
    /// is left out only once a quorum no longer hears it. By then it has lost its own authority.
    pub fn responsible_hosts(&self, own_serving: bool, delisted: impl Fn(&str) -> bool, now: Instant) -> Vec<HostId> {
        let eligible = self.eligible_members(delisted);
        let mut hosts = Vec::new();
        for member in &eligible {
            let host = member.peer.host.as_str();
            let included = match self.state(host, now) {
                Some(HostState::Live) => true,
                Some(HostState::Leaving) => false,
                _ => member.presence == Presence::Serving && !self.quorum_misses(host, &eligible, now),
            };
            if included {
                hosts.push(host.to_owned());
            }
        }
        if own_serving {
            hosts.push(self.own.host.clone());
        }
        hosts.sort();
        hosts
    }

    /// Whether a quorum, including this host, does not hear a host. The caller has checked that this host doesn't.
    fn quorum_misses(&self, host: &str, eligible: &[&Member], now: Instant) -> bool {
        let not_hearing = eligible.iter().filter(|member| {
            let heard = self.state(&member.peer.host, now).is_some_and(|state| state != HostState::Dead);
            heard && !member.heard_hosts.contains(&hash_host(host))
        });
        self.is_quorum(not_hearing.map(|member| member.peer.host.as_str()), eligible)
    }

    /// Other hosts of this data centre that count towards the quorum: all except those that have announced their end or
    /// that the platform has delisted.
    fn eligible_members(&self, delisted: impl Fn(&str) -> bool) -> Vec<&Member> {
        let own = &self.own.data_centre;
        let members = self.members.values().filter(|member| member.peer.data_centre == *own);
        members.filter(|member| member.presence != Presence::Gone && !delisted(&member.peer.host)).collect()
    }

    /// Whether `others` and this host form a quorum of `eligible` and this host: more than half of all hosts, or
    /// exactly half if the first host by name is among them. Any two quorums have a host in common.
    fn is_quorum<'a>(&'a self, others: impl Iterator<Item = &'a str>, eligible: &[&'a Member]) -> bool {
        let own = self.own.host.as_str();
        let set: BTreeSet<&str> = others.chain([own]).collect();
        let total = eligible.len() + 1;
        let first = eligible.iter().map(|member| member.peer.host.as_str()).chain([own]).min();
        2 * set.len() > total || (2 * set.len() == total && first.is_some_and(|first| set.contains(first)))
    }

    fn has_fresh_echo(&self, member: &Member, now: Instant) -> bool {
        let Some((_, sent_at)) = member.echo else { return false };
        now.saturating_duration_since(sent_at) <= self.limits.echo_timeout
    }

    /// The hosts of this data centre that are not dead, as reported in the next digest.
    pub fn heard_hosts(&self, now: Instant) -> Vec<LastHeard> {
        self.reachable(now)
            .into_iter()
            .filter(|member| member.peer.data_centre == self.own.data_centre)
            .map(|member| LastHeard {
                host: hash_host(&member.peer.host),
                life: member.incarnation as u32,
                sequence: member.sequence,
            })
            .collect()
    }

    /// Removes hosts that have been silent for longer than `forget_after`.
    pub fn remove_expired(&mut self, now: Instant) {
        let limit = self.limits.forget_after;
        self.members.retain(|_, member| now.saturating_duration_since(member.heard_at) < limit);
    }
}
