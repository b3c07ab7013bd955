//! The instances of one service, and the choice of the instance for the next request.
//!
//! An instance runs a limited number of requests at once, its slots. Entry hosts can't coordinate per request, so each
//! slot is assigned to one host by a deterministic rule. This way no instance gets more requests than it has slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use member::rank;
use model::HostId;

/// Weight of the newest sample in the moving average of answer times.
const NEWEST_WEIGHT: f64 = 0.2;
/// Number of consecutive failures after which an instance is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// An instance that is slower than the median by this factor is ejected.
const SLOW_FACTOR: f64 = 4.0;
/// Number of answers before the speed of an instance is taken into account.
const MIN_ANSWERS: u64 = 10;
/// Duration of the first ejection of an instance; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Number of slots of an instance that are assigned to the host `own`, given the live hosts of the data centre.
///
/// The hosts are ranked separately for each instance, and its slots are distributed round-robin in that order.
pub fn slot_share(instance: &str, hosts: &[HostId], own: &str, slots: u32) -> u32 {
    let ranked = rank(instance, hosts.iter().map(String::as_str));
    let Some(position) = ranked.iter().position(|host| *host == own) else { return 0 };
    let (count, position) = (ranked.len() as u32, position as u32);
    slots / count + u32::from(position < slots % count)
}

/// A service instance, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique name, made of the task and its attempt.
    pub name: String,
    /// Address on which it serves requests.
    pub address: SocketAddr,
}

/// A slot taken on an instance. Give it back with [`Pool::release`] or [`Pool::return_unused`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenSlot {
    /// Name of the instance.
    pub name: String,
    /// Address on which the instance serves requests.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    /// Number of slots that this host may use.
    share: u32,
    /// A larger share, and when it takes effect.
    pending_share: Option<(u32, Instant)>,
    in_use: u32,
    mean_seconds: f64,
    answers: u64,
    failures: u32,
    ejected_until: Option<Instant>,
    /// Duration of the next ejection.
    next_ejection: Duration,
    /// No longer listed; kept until its last request ends.
    leaving: bool,
}

impl Member {
    fn is_available(&self, now: Instant) -> bool {
        !self.leaving && self.in_use < self.share && self.ejected_until.is_none_or(|until| until <= now)
    }
}

/// The instances of one service.
#[derive(Debug)]
pub struct Pool {
    own: HostId,
    slots: u32,
    /// Delay before a share that grew by a change of the hosts is used, so that the other hosts have seen the change.
    gain_after: Duration,
    members: BTreeMap<String, Member>,
    hosts: Vec<HostId>,
    hosts_since: Option<Instant>,
}

impl Pool {
    /// Creates an empty pool for the host `own`.
    pub fn new(own: HostId, slots: u32, gain_after: Duration) -> Pool {
        Pool { own, slots, gain_after, members: BTreeMap::new(), hosts: Vec::new(), hosts_since: None }
    }

    /// Sets the live instances and hosts. A share that shrinks is reduced at once; one that grows takes effect later.
    pub fn update(&mut self, instances: &[Instance], hosts: &[HostId], now: Instant) {
        if self.hosts != hosts {
            self.hosts = hosts.to_vec();
            self.hosts_since = Some(now);
        }
        for member in self.members.values_mut() {
            member.leaving = true;
        }
        for instance in instances {
            self.update_instance(instance, now);
        }
        self.members.retain(|_, member| !member.leaving || member.in_use > 0);
    }

    fn update_instance(&mut self, instance: &Instance, now: Instant) {
        let share = slot_share(&instance.name, &self.hosts, &self.own, self.slots);
        let effective_at = self.hosts_since.map_or(now, |since| since + self.gain_after);
        let member = self.members.entry(instance.name.clone()).or_insert_with(|| Member {
            address: instance.address,
            share: 0,
            pending_share: None,
            in_use: 0,
            mean_seconds: 0.0,
            answers: 0,
            failures: 0,
            ejected_until: None,
            next_ejection: FIRST_EJECTION,
            leaving: false,
        });
        member.leaving = false;
        member.address = instance.address;
        if share <= member.share || effective_at <= now {
            member.share = share;
            member.pending_share = None;
        } else {
            member.pending_share = Some((share, effective_at));
        }
    }

    /// Takes a slot on the instance with the lowest load relative to its share, preferring faster ones. Returns `None`
    /// if no slot is free. `avoid` is an instance that has just failed the same request.
    pub fn take_slot(&mut self, avoid: Option<&str>, now: Instant) -> Option<TakenSlot> {
        self.apply_pending_shares(now);
        let available =
            || self.members.iter().filter(|(name, member)| member.is_available(now) && Some(name.as_str()) != avoid);
        let best = available().min_by(|(_, left), (_, right)| load(left).total_cmp(&load(right)))?;
        let name = best.0.clone();
        let member = self.members.get_mut(&name)?;
        member.in_use += 1;
        Some(TakenSlot { name, address: member.address })
    }

    fn apply_pending_shares(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            if let Some((share, at)) = member.pending_share
                && at <= now
            {
                member.share = share;
                member.pending_share = None;
            }
        }
    }

    /// Whether [`Pool::take_slot`] would find a slot.
    pub fn has_free_slot(&mut self, now: Instant) -> bool {
        self.apply_pending_shares(now);
        self.members.values().any(|member| member.is_available(now))
    }

    /// Gives back a slot that was not used.
    pub fn return_unused(&mut self, slot: &TakenSlot) {
        if let Some(member) = self.members.get_mut(&slot.name) {
            member.in_use = member.in_use.saturating_sub(1);
        }
    }

    /// Gives back a slot and records how long the answer took, or `None` if the instance failed.
    pub fn release(&mut self, slot: &TakenSlot, took: Option<Duration>, now: Instant) {
        let median = self.median_seconds();
        let max_ejected = self.members.len() / 2;
        let ejected =
            self.members.values().filter(|member| member.ejected_until.is_some_and(|until| until > now)).count();
        let Some(member) = self.members.get_mut(&slot.name) else { return };
        member.in_use = member.in_use.saturating_sub(1);
        match took {
            Some(took) => {
                let seconds = took.as_secs_f64();
                let first = member.answers == 0;
                member.mean_seconds = if first { seconds } else { moving_average(member.mean_seconds, seconds) };
                member.answers += 1;
                member.failures = 0;
            }
            None => member.failures += 1,
        }
        let slow = member.answers >= MIN_ANSWERS && median > 0.0 && member.mean_seconds > SLOW_FACTOR * median;
        // Never ejects more than half of the instances: if most of them are slow or failing, the cause is elsewhere.
        if (member.failures >= EJECT_AFTER_FAILURES || slow) && ejected < max_ejected {
            member.ejected_until = Some(now + member.next_ejection);
            member.next_ejection = (member.next_ejection * 2).min(MAX_EJECTION);
            member.answers = 0;
        } else if took.is_some() && !slow && member.ejected_until.is_none_or(|until| until <= now) {
            member.next_ejection = FIRST_EJECTION;
        }
        if member.leaving && member.in_use == 0 {
            self.members.remove(&slot.name);
        }
    }

    fn median_seconds(&self) -> f64 {
        let mut means: Vec<f64> =
            self.members.values().filter(|member| member.answers > 0).map(|member| member.mean_seconds).collect();
        if means.is_empty() {
            return 0.0;
        }
        means.sort_by(f64::total_cmp);
        means[means.len() / 2]
    }

    /// Numbers of slots that this host may use now, and that it uses.
    pub fn capacity(&self) -> (u32, u32) {
        let live = self.members.values().filter(|member| !member.leaving);
        live.fold((0, 0), |(share, in_use), member| (share + member.share, in_use + member.in_use))
    }

    /// Number of live instances, including those on which this host has no slot.
    pub fn instances(&self) -> usize {
        self.members.values().filter(|member| !member.leaving).count()
    }

    /// Median over the instances of their mean answer time in seconds; `None` before the first answer.
    pub fn typical_seconds(&self) -> Option<f64> {
        let median = self.median_seconds();
        (median > 0.0).then_some(median)
    }
}

fn moving_average(mean: f64, newest: f64) -> f64 {
    mean * (1.0 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT
}

fn load(member: &Member) -> f64 {
    let used_fraction = f64::from(member.in_use + 1) / f64::from(member.share.max(1));
    // Mainly the load; the answer time breaks ties and outweighs small differences of load.
    used_fraction * (1.0 + member.mean_seconds)
}
