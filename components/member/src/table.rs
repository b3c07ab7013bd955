//! The table of entry hosts, kept from their digests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use model::{DataCentreId, HostId, Incarnation, Revision};

use crate::digest::{Digest, HostHash, LastHeard, Peer, Presence, hash_host};

/// Bounds of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct DetectorLimits {
    /// A host that is silent for so long is taken for dead.
    pub dead_after: Duration,
    /// The same for a host of another data centre, from where digests come less often.
    pub remote_dead_after: Duration,
    /// Authority that rests on being heard by the peers ends after so long without their echo. Shorter
    /// than `dead_after`, so that it ends before a peer can take over.
    pub echo_timeout: Duration,
    /// Dead hosts are forgotten after so long.
    pub forget_after: Duration,
    /// A longer gap between two looks at the clock is a pause of this host.
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

/// How one host is seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// Heard lately, and serving.
    Live,
    /// Heard lately, and on its way out.
    Leaving,
    /// Silent for too long, or said that it is gone.
    Dead,
}

/// What is known of another entry host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Where it is.
    pub peer: Peer,
    /// Its newest life heard of.
    pub incarnation: Incarnation,
    /// Its last digest's sequence.
    pub sequence: u64,
    /// What it last said of itself.
    pub presence: Presence,
    /// When its last digest arrived.
    pub heard_at: Instant,
    /// Revision of the configuration that it has.
    pub configuration: Revision,
    /// Version of the facts that it publishes.
    pub facts: u64,
    /// The newest sequence of ours that it says it heard, and when we sent that.
    pub echo: Option<(u64, Instant)>,
    /// Marks of the hosts of its data centre that it says it hears.
    pub heard_hosts: BTreeSet<HostHash>,
}

/// All other entry hosts that this one knows of.
#[derive(Debug)]
pub struct MemberTable {
    own: Peer,
    incarnation: Incarnation,
    limits: DetectorLimits,
    members: BTreeMap<HostId, Member>,
    /// When each of our latest digests was sent, to date the echoes by our own clock.
    sent_at: BTreeMap<u64, Instant>,
    /// When this host last looked at the clock.
    last_tick: Option<Instant>,
}

const MAX_SENT_RECORDS: usize = 64;

impl MemberTable {
    /// Creates an empty table for the host `own` in the life `incarnation`.
    pub fn new(own: Peer, incarnation: Incarnation, limits: DetectorLimits) -> MemberTable {
        MemberTable { own, incarnation, limits, members: BTreeMap::new(), sent_at: BTreeMap::new(), last_tick: None }
    }

    /// Looks at the clock; call it often. After a pause of this host the silence of the others says nothing:
    /// the time of the pause is not counted against them.
    pub fn tick(&mut self, now: Instant) {
        let gap = self.pause_before(now);
        for member in self.members.values_mut() {
            member.heard_at += gap;
        }
        self.last_tick = Some(now);
    }

    /// How long this host was paused before `now`, since it last looked at the clock.
    fn pause_before(&self, now: Instant) -> Duration {
        let Some(last_tick) = self.last_tick else { return Duration::ZERO };
        let gap = now.saturating_duration_since(last_tick);
        if gap > self.limits.pause_threshold { gap } else { Duration::ZERO }
    }

    /// Notes that our digest `sequence` is sent now.
    pub fn record_sent(&mut self, sequence: u64, now: Instant) {
        self.sent_at.insert(sequence, now);
        while self.sent_at.len() > MAX_SENT_RECORDS {
            self.sent_at.pop_first();
        }
    }

    /// Takes a digest in. Tells whether the set of live hosts may have changed.
    ///
    /// Digests of an older life, or older than the last one heard, are dropped: UDP may reorder them.
    pub fn receive(&mut self, digest: &Digest, now: Instant) -> bool {
        if digest.from.host == self.own.host {
            return false;
        }
        let before = self.state(&digest.from.host, now);
        let known = self.members.get(&digest.from.host);
        let newer =
            known.is_none_or(|member| (digest.incarnation, digest.sequence) > (member.incarnation, member.sequence));
        if !newer {
            return false;
        }
        let echo = self.latest_echo(digest, known);
        let replaced = known.is_some_and(|member| member.incarnation != digest.incarnation);
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
        replaced || before != self.state(&digest.from.host, now)
    }

    /// A host of another data centre that hears its neighbours speaks for them: digests from afar come seldom.
    fn refresh_remote_hosts(&mut self, digest: &Digest, now: Instant) {
        let far = &digest.from.data_centre;
        if *far == self.own.data_centre {
            return;
        }
        for member in self.members.values_mut().filter(|member| member.peer.data_centre == *far) {
            let host = hash_host(&member.peer.host);
            let life = member.incarnation as u32;
            if digest.heard.iter().any(|heard| heard.host == host && heard.life == life) {
                member.heard_at = now;
            }
        }
    }

    /// The echo is dated by when *we* sent the digest that was heard: a digest held up on the way, or a
    /// pause of ours, can't stretch the authority that rests on it.
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

    /// The state of a host; `None` when it was never heard of.
    pub fn state(&self, host: &str, now: Instant) -> Option<HostState> {
        if host == self.own.host {
            return Some(HostState::Live);
        }
        let member = self.members.get(host)?;
        let silent = now.saturating_duration_since(member.heard_at + self.pause_before(now));
        Some(match member.presence {
            Presence::Gone => HostState::Dead,
            _ if silent > self.dead_after(member) => HostState::Dead,
            Presence::Leaving => HostState::Leaving,
            Presence::Serving => HostState::Live,
        })
    }

    fn dead_after(&self, member: &Member) -> Duration {
        let near = member.peer.data_centre == self.own.data_centre;
        if near { self.limits.dead_after } else { self.limits.remote_dead_after }
    }

    /// A host's entry.
    pub fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    /// All entries, dead ones too.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Other hosts that are live or leaving.
    pub fn reachable(&self, now: Instant) -> Vec<&Member> {
        let alive = |member: &&Member| self.state(&member.peer.host, now) != Some(HostState::Dead);
        self.members.values().filter(alive).collect()
    }

    /// Names of the live hosts of a data centre, without the leaving ones; includes this host when it is
    /// in that data centre and `own_serving`.
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

    /// Whether this host may act as one that others would replace if they missed it: a quorum of the data
    /// centre, this host included, has heard a digest of ours that was sent lately.
    ///
    /// The authority ends by our own clock before a quorum can have taken us for dead, also after a pause.
    /// `delisted` tells hosts that the platform has taken off its list: they don't count any more.
    pub fn has_authority(&self, delisted: impl Fn(&str) -> bool, now: Instant) -> bool {
        let known = self.eligible_members(delisted);
        let echoing = known.iter().filter(|member| self.has_fresh_echo(member, now));
        self.is_quorum(echoing.map(|member| member.peer.host.as_str()), &known)
    }

    /// The hosts of the own data centre among which responsibility for keys is divided. A silent host is left
    /// out only when a quorum does not hear it, so that it has lost its own authority before.
    pub fn responsible_hosts(&self, own_serving: bool, delisted: impl Fn(&str) -> bool, now: Instant) -> Vec<HostId> {
        let known = self.eligible_members(delisted);
        let mut hosts = Vec::new();
        for member in &known {
            let host = member.peer.host.as_str();
            let live = match self.state(host, now) {
                Some(HostState::Live) => true,
                Some(HostState::Leaving) => false,
                _ => member.presence == Presence::Serving && !self.quorum_misses(host, &known, now),
            };
            if live {
                hosts.push(host.to_owned());
            }
        }
        if own_serving {
            hosts.push(self.own.host.clone());
        }
        hosts.sort();
        hosts
    }

    /// Whether a quorum does not hear a host that this one does not hear either.
    fn quorum_misses(&self, host: &str, known: &[&Member], now: Instant) -> bool {
        let missing = known.iter().filter(|member| {
            let heard = self.state(&member.peer.host, now).is_some_and(|state| state != HostState::Dead);
            heard && !member.heard_hosts.contains(&hash_host(host))
        });
        self.is_quorum(missing.map(|member| member.peer.host.as_str()), known)
    }

    /// Other hosts of the own data centre that may act: all but those that said they are gone, or that the
    /// platform has delisted.
    fn eligible_members(&self, delisted: impl Fn(&str) -> bool) -> Vec<&Member> {
        let own = &self.own.data_centre;
        let members = self.members.values().filter(|member| member.peer.data_centre == *own);
        members.filter(|member| member.presence != Presence::Gone && !delisted(&member.peer.host)).collect()
    }

    /// Whether `others` and this host are more than half of all, or half of them with the one that comes first
    /// by name: two such sets always have a host in common.
    fn is_quorum<'a>(&'a self, others: impl Iterator<Item = &'a str>, known: &[&'a Member]) -> bool {
        let own = self.own.host.as_str();
        let set: BTreeSet<&str> = others.chain([own]).collect();
        let all = known.len() + 1;
        let first = known.iter().map(|member| member.peer.host.as_str()).chain([own]).min();
        2 * set.len() > all || (2 * set.len() == all && first.is_some_and(|first| set.contains(first)))
    }

    fn has_fresh_echo(&self, member: &Member, now: Instant) -> bool {
        let Some((_, sent_at)) = member.echo else { return false };
        now.saturating_duration_since(sent_at) <= self.limits.echo_timeout
    }

    /// What our next digest says it heard in the own data centre.
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

    /// Forgets hosts that have been dead for long.
    pub fn remove_expired(&mut self, now: Instant) {
        let limit = self.limits.forget_after;
        self.members.retain(|_, member| now.saturating_duration_since(member.heard_at) < limit);
    }
}
