//! Admission to one service: what can be done in time waits its turn, what can't is refused at once.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::TeamId;
use model::workload::Priority;

/// Names a waiting request.
pub type Ticket = u64;

/// Shortest time that a refused caller is asked to stay away.
const SOONEST_RETRY: Duration = Duration::from_millis(100);
/// Longest time that a refused caller is asked to stay away.
const LATEST_RETRY: Duration = Duration::from_secs(60);
/// Room that is left for an answer that takes longer than usual.
const SAFETY: f64 = 1.5;
/// Assumed time of an answer before the first was seen.
const UNSEEN: Duration = Duration::from_millis(20);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It would not be answered before its deadline.
    TooLate,
    /// The queue is full.
    Full,
    /// The service has no live instance.
    NoInstance,
    /// This entry host may not use a slot of any instance yet.
    NoShare,
}

impl RefusalReason {
    /// For the caller.
    pub fn message(self) -> &'static str {
        match self {
            RefusalReason::TooLate => "can't be answered before its deadline",
            RefusalReason::Full => "too many requests wait already",
            RefusalReason::NoInstance => "no instance of the service is live",
            RefusalReason::NoShare => "this entry host has no share of the service's instances yet",
        }
    }
}

/// A refusal, before anything was sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, worked out from what waits now.
    pub retry_after: Duration,
}

/// Who asks for a slot, and until when it is of use.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The team that sent the request.
    pub team: TeamId,
    /// Its class's place in the queue.
    pub priority: Priority,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// What an entry host can do for a service now.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests that it may run at once.
    pub slots: u32,
    /// Whether a slot is free.
    pub free: bool,
    /// The usual time of an answer; `None` before the first.
    pub answer_time: Option<Duration>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Take a slot now.
    Run,
    /// Wait; [`Queue::next`] will name the ticket.
    Wait(Ticket),
    /// No.
    Refused(Refusal),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

/// One priority's requests, by team, served in turn.
#[derive(Debug, Default)]
struct Tier {
    teams: HashMap<TeamId, VecDeque<Waiting>>,
    turn: VecDeque<TeamId>,
    count: usize,
}

impl Tier {
    fn push(&mut self, team: &TeamId, waiting: Waiting) {
        let line = self.teams.entry(team.clone()).or_default();
        if line.is_empty() {
            self.turn.push_back(team.clone());
        }
        line.push_back(waiting);
        self.count += 1;
    }

    /// The next request of the team whose turn it is; the team goes to the end.
    fn pop(&mut self) -> Option<Waiting> {
        let team = self.turn.pop_front()?;
        let line = self.teams.get_mut(&team)?;
        let waiting = line.pop_front();
        if line.is_empty() {
            self.teams.remove(&team);
        } else {
            self.turn.push_back(team);
        }
        self.count -= usize::from(waiting.is_some());
        waiting
    }

    fn remove(&mut self, team: &TeamId, ticket: Ticket) -> bool {
        let Some(line) = self.teams.get_mut(team) else { return false };
        let before = line.len();
        line.retain(|waiting| waiting.ticket != ticket);
        let removed = before - line.len();
        self.count -= removed;
        if line.is_empty() {
            self.teams.remove(team);
            self.turn.retain(|name| name != team);
        }
        removed > 0
    }

    /// Requests that go before a new one of this team: as many of each other team's as the team has itself.
    fn ahead(&self, team: &TeamId) -> usize {
        let own = self.teams.get(team).map_or(0, VecDeque::len);
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        own + others.map(|(_, line)| line.len().min(own + 1)).sum::<usize>()
    }
}

/// The queue of one service at one entry host.
#[derive(Debug)]
pub struct Queue {
    most: usize,
    tiers: BTreeMap<Priority, Tier>,
    last: Ticket,
}

impl Queue {
    /// An empty queue for at most `most` requests.
    pub fn new(most: usize) -> Queue {
        Queue { most, tiers: BTreeMap::new(), last: 0 }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.tiers.values().map(|tier| tier.count).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Offers a request.
    pub fn admit(&mut self, ask: &SlotRequest, room: &Capacity, now: Instant) -> Admission {
        let answer = room.answer_time.unwrap_or(UNSEEN);
        let ahead = self.ahead(&ask.team, ask.priority);
        if room.free && ahead == 0 {
            return self.run(ask.deadline, answer, now);
        }
        let drain = wait(self.len() + 1, room.slots, answer);
        if room.slots == 0 {
            return refuse(RefusalReason::NoShare, Duration::from_secs(1));
        }
        if self.len() >= self.most {
            return refuse(RefusalReason::Full, drain);
        }
        let expected = wait(ahead + 1, room.slots, answer) + answer.mul_f64(SAFETY);
        if now + expected > ask.deadline {
            return refuse(RefusalReason::TooLate, drain);
        }
        self.last += 1;
        let waiting = Waiting { ticket: self.last, deadline: ask.deadline };
        self.tiers.entry(ask.priority).or_default().push(&ask.team, waiting);
        Admission::Wait(self.last)
    }

    fn run(&self, deadline: Instant, answer: Duration, now: Instant) -> Admission {
        if now >= deadline {
            return refuse(RefusalReason::TooLate, answer);
        }
        Admission::Run
    }

    fn ahead(&self, team: &TeamId, priority: Priority) -> usize {
        let before = self.tiers.range(..priority).map(|(_, tier)| tier.count).sum::<usize>();
        before + self.tiers.get(&priority).map_or(0, |tier| tier.ahead(team))
    }

    /// The request that gets the slot that just became free, and those before it that could not be answered any
    /// more before their deadline: they are to be refused now, instead of wasting the slot.
    pub fn next(&mut self, answer: Option<Duration>, now: Instant) -> (Option<Ticket>, Vec<Ticket>) {
        let needed = answer.unwrap_or_default().mul_f64(SAFETY);
        let mut late = Vec::new();
        for tier in self.tiers.values_mut() {
            while let Some(waiting) = tier.pop() {
                if waiting.deadline > now + needed {
                    return (Some(waiting.ticket), late);
                }
                late.push(waiting.ticket);
            }
        }
        (None, late)
    }

    /// Takes a request out whose caller went away or whose deadline came. Tells whether it still waited.
    pub fn remove(&mut self, ask: &SlotRequest, ticket: Ticket) -> bool {
        self.tiers.get_mut(&ask.priority).is_some_and(|tier| tier.remove(&ask.team, ticket))
    }

    /// When a caller that is refused now should come back.
    pub fn retry_after(&self, slots: u32, answer: Option<Duration>) -> Duration {
        wait(self.len() + 1, slots, answer.unwrap_or(UNSEEN)).clamp(SOONEST_RETRY, LATEST_RETRY)
    }
}

/// Time until the last of `requests` gets one of the slots.
fn wait(requests: usize, slots: u32, answer: Duration) -> Duration {
    let rounds = requests as f64 / f64::from(slots.max(1));
    answer.mul_f64(rounds)
}

fn refuse(why: RefusalReason, retry_after: Duration) -> Admission {
    Admission::Refused(Refusal { reason: why, retry_after: retry_after.clamp(SOONEST_RETRY, LATEST_RETRY) })
}
