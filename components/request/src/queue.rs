//! Admission control for one service: a request that can be answered before its deadline is queued, any other is refused
//! at once.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use model::TeamId;
use model::workload::Priority;

/// Identifies a queued request.
pub type Ticket = u64;

/// Smallest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Largest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Safety factor on the usual answer time, for an answer that takes longer.
const ANSWER_TIME_MARGIN: f64 = 1.5;
/// Assumed answer time until the first answer has been measured.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_millis(20);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It can't be answered before its deadrequests.
    TooLate,
    /// The queue is full.
    Full,
    /// The service has no live instance.
    NoInstance,
    /// No slot of any instance is assigned to this entry host yet.
    NoShare,
}

impl RefusalReason {
    /// Explanation for the caller.
    pub fn message(self) -> &'static str {
        match self {
            RefusalReason::TooLate => "can't be answered before its deadline",
            RefusalReason::Full => "too many requests wait already",
            RefusalReason::NoInstance => "no instance of the service is live",
            RefusalReason::NoShare => "this entry host has no share of the service's instances yet",
        }
    }
}

/// A refusal of a request of which nothing was sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub reason: RefusalReason,
    /// Delay before a retry, estimated from the requests that are queued now.
    pub retry_after: Duration,
}

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The team that sent the request.
    pub team: TeamId,
    /// Priority of the request's class.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What one entry host can currently use of a service.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Number of requests that it may run concurrently.
    pub slots: u32,
    /// Whether a slot is free now.
    pub free: bool,
    /// The usual answer time; `None` before the first answer.
    pub answer_time: Option<Duration>,
}

/// Result of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may take a slot now.
    Run,
    /// The request is queued; [`Queue::next`] will return the ticket.
    Wait(Ticket),
    /// The request must not run.
    Refused(Refusal),
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

/// The queued requests of one priority, by team. Teams are served round-robin.
#[derive(Debug, Default)]
struct TeamQueues {
    teams: HashMap<TeamId, VecDeque<Waiting>>,
    /// Order in which the teams are served next.
    turns: VecDeque<TeamId>,
    count: usize,
}

impl TeamQueues {
    fn push(&mut self, team: &TeamId, waiting: Waiting) {
        let requests = self.teams.entry(team.clone()).or_default();
        if requests.is_empty() {
            self.turns.push_back(team.clone());
        }
        requests.push_back(waiting);
        self.count += 1;
    }

    /// Removes the next request of the team whose turn it is, and moves the team to the end.
    fn pop(&mut self) -> Option<Waiting> {
        let team = self.turns.pop_front()?;
        let requests = self.teams.get_mut(&team)?;
        let waiting = requests.pop_front();
        if requests.is_empty() {
            self.teams.remove(&team);
        } else {
            self.turns.push_back(team);
        }
        self.count -= usize::from(waiting.is_some());
        waiting
    }

    fn remove(&mut self, team: &TeamId, ticket: Ticket) -> bool {
        let Some(requests) = self.teams.get_mut(team) else { return false };
        let before = requests.len();
        requests.retain(|waiting| waiting.ticket != ticket);
        let removed = before - requests.len();
        self.count -= removed;
        if requests.is_empty() {
            self.teams.remove(team);
            self.turns.retain(|name| name != team);
        }
        removed > 0
    }

    /// Number of requests that are served before a new one of this team: its own, and of each other team at most one
    /// more than it has itself.
    fn ahead(&self, team: &TeamId) -> usize {
        let own = self.teams.get(team).map_or(0, VecDeque::len);
        let others = self.teams.iter().filter(|(name, _)| *name != team);
        own + others.map(|(_, requests)| requests.len().min(own + 1)).sum::<usize>()
    }
}

/// The queue of one service at one entry host.
#[derive(Debug)]
pub struct Queue {
    max_len: usize,
    priorities: BTreeMap<Priority, TeamQueues>,
    last_ticket: Ticket,
}

impl Queue {
    /// Creates an empty queue for at most `max_len` requests.
    pub fn new(max_len: usize) -> Queue {
        Queue { max_len, priorities: BTreeMap::new(), last_ticket: 0 }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.priorities.values().map(|queue| queue.count).sum()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides whether a request runs now, is queued or is refused.
    pub fn admit(&mut self, request: &SlotRequest, capacity: &Capacity, now: Instant) -> Admission {
        let answer_time = capacity.answer_time.unwrap_or(DEFAULT_ANSWER_TIME);
        let ahead = self.ahead(&request.team, request.priority);
        if capacity.free && ahead == 0 {
            return self.run(request.deadline, answer_time, now);
        }
        let time_to_drain = queueing_time(self.len() + 1, capacity.slots, answer_time);
        if capacity.slots == 0 {
            return refuse(RefusalReason::NoShare, Duration::from_secs(1));
        }
        if self.len() >= self.max_len {
            return refuse(RefusalReason::Full, time_to_drain);
        }
        let expected = queueing_time(ahead + 1, capacity.slots, answer_time) + answer_time.mul_f64(ANSWER_TIME_MARGIN);
        if now + expected > request.deadline {
            return refuse(RefusalReason::TooLate, time_to_drain);
        }
        self.last_ticket += 1;
        let waiting = Waiting { ticket: self.last_ticket, deadline: request.deadline };
        self.priorities.entry(request.priority).or_default().push(&request.team, waiting);
        Admission::Wait(self.last_ticket)
    }

    fn run(&self, deadline: Instant, answer_time: Duration, now: Instant) -> Admission {
        if now >= deadline {
            return refuse(RefusalReason::TooLate, answer_time);
        }
        Admission::Run
    }

    fn ahead(&self, team: &TeamId, priority: Priority) -> usize {
        let before = self.priorities.range(..priority).map(|(_, queue)| queue.count).sum::<usize>();
        before + self.priorities.get(&priority).map_or(0, |queue| queue.ahead(team))
    }

    /// Removes and returns the request that gets the slot that has just become free, and the requests before it that can
    /// no longer be answered before their deadlines. The caller refuses the latter, so that they don't waste the slot.
    pub fn next(&mut self, answer_time: Option<Duration>, now: Instant) -> (Option<Ticket>, Vec<Ticket>) {
        let needed = answer_time.unwrap_or_default().mul_f64(ANSWER_TIME_MARGIN);
        let mut late = Vec::new();
        for queue in self.priorities.values_mut() {
            while let Some(waiting) = queue.pop() {
                if waiting.deadline > now + needed {
                    return (Some(waiting.ticket), late);
                }
                late.push(waiting.ticket);
            }
        }
        (None, late)
    }

    /// Removes a request whose caller has gone away or whose deadline has passed. Returns whether it was still queued.
    pub fn remove(&mut self, request: &SlotRequest, ticket: Ticket) -> bool {
        self.priorities.get_mut(&request.priority).is_some_and(|queue| queue.remove(&request.team, ticket))
    }

    /// Delay after which a caller that is refused now should retry.
    pub fn retry_after(&self, slots: u32, answer_time: Option<Duration>) -> Duration {
        queueing_time(self.len() + 1, slots, answer_time.unwrap_or(DEFAULT_ANSWER_TIME))
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Time until the last of `requests` requests gets a slot.
fn queueing_time(requests: usize, slots: u32, answer_time: Duration) -> Duration {
    let rounds = requests as f64 / f64::from(slots.max(1));
    answer_time.mul_f64(rounds)
}

fn refuse(reason: RefusalReason, retry_after: Duration) -> Admission {
    Admission::Refused(Refusal { reason, retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) })
}
