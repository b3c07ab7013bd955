//! The instances of one service, and which one gets the next request.
//!
//! An instance has a few slots, shared by entry hosts that can't ask each other per request. Each slot
//! belongs to one host by a rule that all hosts know, so that no instance ever gets more than it can run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use member::rank;
use model::HostId;

/// Weight of the newest answer in the running mean of answer times.
const NEWEST: f64 = 0.2;
/// Failures in a row after which an instance is eased off.
const EASE_AFTER: u32 = 3;
/// An instance this many times slower than the median is eased off.
const SLOW_FACTOR: f64 = 4.0;
/// Answers before an instance's speed is judged.
const JUDGE_AFTER: u64 = 10;
const FIRST_EASE: Duration = Duration::from_secs(1);
const LONGEST_EASE: Duration = Duration::from_secs(30);

/// How many of an instance's slots belong to `own`, among the live hosts of the data centre.
///
/// The hosts are ranked anew for each instance, and its slots dealt to them in turn.
pub fn slot_share(instance: &str, hosts: &[HostId], own: &str, slots: u32) -> u32 {
    let ranked = rank(instance, hosts.iter().map(String::as_str));
    let Some(position) = ranked.iter().position(|host| *host == own) else { return 0 };
    let (count, position) = (ranked.len() as u32, position as u32);
    slots / count + u32::from(position < slots % count)
}

/// A service instance as the facts tell it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique name: the task and its attempt.
    pub name: String,
    /// Where it answers.
    pub address: SocketAddr,
}

/// A slot taken on an instance; give it back by [`Pool::release`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenSlot {
    /// The instance.
    pub name: String,
    /// Where it answers.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    share: u32,
    /// A larger share that may be used from then on.
    gain: Option<(u32, Instant)>,
    in_use: u32,
    mean_seconds: f64,
    answers: u64,
    failures: u32,
    eased_until: Option<Instant>,
    ease: Duration,
    /// Off the list, kept until its last request ends.
    leaving: bool,
}

impl Member {
    fn open(&self, now: Instant) -> bool {
        !self.leaving && self.in_use < self.share && self.eased_until.is_none_or(|until| until <= now)
    }
}

/// The instances of one service.
#[derive(Debug)]
pub struct Pool {
    own: HostId,
    slots: u32,
    /// A share gained by a change of the hosts is used only after so long, when the others have seen it too.
    gain_after: Duration,
    members: BTreeMap<String, Member>,
    hosts: Vec<HostId>,
    hosts_since: Option<Instant>,
}

impl Pool {
    /// An empty pool for the host `own`.
    pub fn new(own: HostId, slots: u32, gain_after: Duration) -> Pool {
        Pool { own, slots, gain_after, members: BTreeMap::new(), hosts: Vec::new(), hosts_since: None }
    }

    /// Takes in the live instances and hosts. What is lost is lost at once, what is gained is used later.
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
        let settled = self.hosts_since.map_or(now, |since| since + self.gain_after);
        let member = self.members.entry(instance.name.clone()).or_insert_with(|| Member {
            address: instance.address,
            share: 0,
            gain: None,
            in_use: 0,
            mean_seconds: 0.0,
            answers: 0,
            failures: 0,
            eased_until: None,
            ease: FIRST_EASE,
            leaving: false,
        });
        member.leaving = false;
        member.address = instance.address;
        if share <= member.share || settled <= now {
            member.share = share;
            member.gain = None;
        } else {
            member.gain = Some((share, settled));
        }
    }

    /// Takes a slot on the instance that is least loaded for its share, then fastest; `None` when no slot is
    /// free. `avoid` names an instance that just failed the same request.
    pub fn take_slot(&mut self, avoid: Option<&str>, now: Instant) -> Option<TakenSlot> {
        self.use_gains(now);
        let open = || self.members.iter().filter(|(name, member)| member.open(now) && Some(name.as_str()) != avoid);
        let best = open().min_by(|(_, left), (_, right)| load(left).total_cmp(&load(right)))?;
        let name = best.0.clone();
        let member = self.members.get_mut(&name)?;
        member.in_use += 1;
        Some(TakenSlot { name, address: member.address })
    }

    fn use_gains(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            if let Some((share, at)) = member.gain
                && at <= now
            {
                member.share = share;
                member.gain = None;
            }
        }
    }

    /// Whether [`Pool::take_slot`] would find a slot.
    pub fn has_free_slot(&mut self, now: Instant) -> bool {
        self.use_gains(now);
        self.members.values().any(|member| member.open(now))
    }

    /// Gives a slot back that was not used.
    pub fn return_unused(&mut self, pick: &TakenSlot) {
        if let Some(member) = self.members.get_mut(&pick.name) {
            member.in_use = member.in_use.saturating_sub(1);
        }
    }

    /// Gives a slot back, with the time that the answer took; `None` when the instance failed.
    pub fn release(&mut self, pick: &TakenSlot, took: Option<Duration>, now: Instant) {
        let median = self.median_seconds();
        let most_eased = self.members.len() / 2;
        let eased = self.members.values().filter(|member| member.eased_until.is_some_and(|until| until > now)).count();
        let Some(member) = self.members.get_mut(&pick.name) else { return };
        member.in_use = member.in_use.saturating_sub(1);
        match took {
            Some(took) => {
                let seconds = took.as_secs_f64();
                let first = member.answers == 0;
                member.mean_seconds = if first { seconds } else { mix(member.mean_seconds, seconds) };
                member.answers += 1;
                member.failures = 0;
            }
            None => member.failures += 1,
        }
        let slow = member.answers >= JUDGE_AFTER && median > 0.0 && member.mean_seconds > SLOW_FACTOR * median;
        // Never ease off more than half: with most of them slow or failing, the fault is elsewhere.
        if (member.failures >= EASE_AFTER || slow) && eased < most_eased {
            member.eased_until = Some(now + member.ease);
            member.ease = (member.ease * 2).min(LONGEST_EASE);
            member.answers = 0;
        } else if took.is_some() && !slow && member.eased_until.is_none_or(|until| until <= now) {
            member.ease = FIRST_EASE;
        }
        if member.leaving && member.in_use == 0 {
            self.members.remove(&pick.name);
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

    /// Slots that this host may use now, and those it uses.
    pub fn capacity(&self) -> (u32, u32) {
        let live = self.members.values().filter(|member| !member.leaving);
        live.fold((0, 0), |(share, in_use), member| (share + member.share, in_use + member.in_use))
    }

    /// Live instances, whether this host has a share of them or not.
    pub fn instances(&self) -> usize {
        self.members.values().filter(|member| !member.leaving).count()
    }

    /// Mean seconds of an answer over all instances; `None` before the first.
    pub fn typical_seconds(&self) -> Option<f64> {
        let median = self.median_seconds();
        (median > 0.0).then_some(median)
    }
}

fn mix(mean: f64, newest: f64) -> f64 {
    mean * (1.0 - NEWEST) + newest * NEWEST
}

fn load(member: &Member) -> f64 {
    let used = f64::from(member.in_use + 1) / f64::from(member.share.max(1));
    // The load decides; the speed breaks ties, and weighs against a nearly equal load.
    used * (1.0 + member.mean_seconds)
}
