//! The advice service's answers: which workers may run a unit. What to ask next is in [`crate::questions`].
//!
//! The set of workers that may run a unit never changes; only tickets expire.

use std::collections::BTreeMap;
use std::time::Duration;

use work::{QueueName, Unit, WorkerId};

use crate::engine::Engine;
use crate::worker_set::WorkerSet;

/// Permission to start the tasks of a unit on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The text that is sent along with a start.
    pub text: String,
    /// When it expires, in monotonic time of this process.
    pub until: Duration,
}

impl Ticket {
    /// Whether it is still valid at this time.
    fn holds(&self, until: Duration) -> bool {
        self.until > until
    }
}

/// What the advice service said about the workers for a unit. Workers are given by number; see
/// [`crate::room::Room::number`].
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitAdvice {
    /// Workers that were named in answered questions.
    pub asked: WorkerSet,
    /// Workers that may run the unit, each with its last ticket.
    pub healthy: BTreeMap<usize, Ticket>,
    /// Workers that are named in unanswered questions.
    pub asking: WorkerSet,
    /// No further question is considered before this time, unless an answer arrives.
    pub ask_at: Duration,
}

/// For each queue, the share of the named workers that may run its units.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares(BTreeMap<QueueName, (f64, f64)>);

/// Prior estimate of the share, lower than that of most queues, so that the first questions name enough workers.
const PRIOR_SHARE: f64 = 0.4;
/// Weight of the prior estimate, as a number of named workers.
const PRIOR_WEIGHT: f64 = 20.0;

impl Shares {
    pub(crate) fn get(&self, queue: &str) -> f64 {
        let (named, allowed) = self.0.get(queue).copied().unwrap_or_default();
        (PRIOR_SHARE * PRIOR_WEIGHT + allowed) / (PRIOR_WEIGHT + named)
    }

    fn add(&mut self, queue: &str, named: usize, allowed: usize) {
        let sums = self.0.entry(queue.to_owned()).or_default();
        sums.0 += named as f64;
        sums.1 += allowed as f64;
    }
}

impl UnitAdvice {
    /// Whether a start that arrives at this worker by `until` may be sent.
    pub(crate) fn allows(&self, worker: usize, until: Duration) -> bool {
        self.healthy.get(&worker).is_some_and(|ticket| ticket.holds(until))
    }

    /// The probability that a worker named in an unanswered question may run the unit. `share` is that of a worker that
    /// wasn't asked about before.
    pub(crate) fn chance(&self, worker: usize, share: f64) -> f64 {
        if self.healthy.contains_key(&worker) { 1.0 } else { share }
    }

    /// Whether nothing was asked yet.
    pub(crate) fn is_new(&self) -> bool {
        self.asked.is_empty() && self.asking.is_empty()
    }

    /// Records that a question about these workers has ended.
    fn answered(&mut self, asked: &[usize]) {
        asked.iter().for_each(|worker| self.asking.remove(*worker));
        self.ask_at = Duration::ZERO;
    }

    /// Workers whose tickets are still valid at `until`.
    pub(crate) fn tickets(&self, until: Duration) -> impl Iterator<Item = usize> {
        self.healthy.iter().filter(move |(_, ticket)| ticket.holds(until)).map(|(worker, _)| *worker)
    }
}

impl Engine {
    /// Processes the advice service's answer: the workers among `asked` that may run the unit.
    pub fn advice_received(&mut self, unit: Unit, asked: &[WorkerId], healthy: Vec<(WorkerId, Ticket)>) {
        let asked: Vec<usize> = asked.iter().map(|worker| self.room.assign_number(worker)).collect();
        let healthy: Vec<(usize, Ticket)> =
            healthy.into_iter().map(|(worker, ticket)| (self.room.assign_number(&worker), ticket)).collect();
        self.count_shares(unit, &asked, &healthy);
        self.count_advice(unit, asked.len());
        let Some(state) = self.unit_mut(unit) else { return };
        state.advice.answered(&asked);
        state.retry_at = Duration::ZERO;
        asked.iter().for_each(|worker| state.advice.asked.insert(*worker));
        state.advice.healthy.extend(healthy);
    }

    /// Processes that a question about `asked` got no answer.
    pub fn advice_failed(&mut self, unit: Unit, asked: &[WorkerId]) {
        self.count_advice(unit, asked.len());
        let asked: Vec<usize> = asked.iter().map(|worker| self.room.assign_number(worker)).collect();
        if let Some(state) = self.unit_mut(unit) {
            state.advice.answered(&asked);
        }
    }

    /// Updates the share of the queue with the workers that weren't asked about before.
    fn count_shares(&mut self, unit: Unit, asked: &[usize], healthy: &[(usize, Ticket)]) {
        let Some(entry) = self.jobs.get(&unit.job) else { return };
        let Some(state) = entry.units.get(&(unit.round, unit.step)) else { return };
        let new = |worker: &&usize| !state.advice.asked.contains(**worker);
        let named = asked.iter().filter(new).count();
        let allowed = healthy.iter().map(|(worker, _)| worker).filter(new).count();
        let queue = entry.queue.clone();
        self.shares.add(&queue, named, allowed);
    }

    pub(crate) fn drop_ticket(&mut self, unit: Unit, worker: &str) {
        let number = self.room.number(worker);
        if let Some(state) = self.unit_mut(unit)
            && let Some(ticket) = number.and_then(|number| state.advice.healthy.get_mut(&number))
        {
            ticket.until = Duration::ZERO;
        }
    }
}
