//! Which workers may run a unit: what the adviser said. What to ask it next is in [`crate::questions`].
//!
//! Who may run a unit never changes; only tickets run out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use work::{QueueName, Unit, WorkerId};

use crate::engine::Engine;

/// Permission to start the tasks of a unit on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What a start brings.
    pub text: String,
    /// Until when it holds, on this process's steady clock.
    pub until: Duration,
}

impl Ticket {
    /// Whether it holds beyond this time.
    fn holds(&self, until: Duration) -> bool {
        self.until > until
    }
}

/// What is known of a unit's workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnitAdvice {
    /// Workers that were named in an answered question.
    pub asked: BTreeSet<WorkerId>,
    /// Those that may run it, each with its last ticket.
    pub healthy: BTreeMap<WorkerId, Ticket>,
    /// Workers that are named in questions under way.
    pub asking: BTreeSet<WorkerId>,
    /// A question isn't looked for before this time, unless an answer comes.
    pub ask_at: Duration,
}

/// Shares of the named workers that could run a unit, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares(BTreeMap<QueueName, (f64, f64)>);

/// Share expected before the first answers: below what most queues show, so that questions name enough.
const PRIOR_SHARE: f64 = 0.4;
/// Weight of the expectation against answers, in named workers.
const PRIOR_WEIGHT: f64 = 20.0;

impl Shares {
    pub(crate) fn get(&self, queue: &str) -> f64 {
        let (named, good) = self.0.get(queue).copied().unwrap_or_default();
        (PRIOR_SHARE * PRIOR_WEIGHT + good) / (PRIOR_WEIGHT + named)
    }

    fn add(&mut self, queue: &str, named: usize, good: usize) {
        let sums = self.0.entry(queue.to_owned()).or_default();
        sums.0 += named as f64;
        sums.1 += good as f64;
    }
}

impl UnitAdvice {
    /// Whether a start that reaches this worker by `until` may be sent.
    pub(crate) fn allows(&self, worker: &str, until: Duration) -> bool {
        self.healthy.get(worker).is_some_and(|ticket| ticket.holds(until))
    }

    /// Whether nothing was asked yet.
    pub(crate) fn is_new(&self) -> bool {
        self.asked.is_empty() && self.asking.is_empty()
    }

    /// A question about these workers has ended.
    fn answered(&mut self, asked: &[WorkerId]) {
        asked.iter().for_each(|worker| {
            self.asking.remove(worker);
        });
        self.ask_at = Duration::ZERO;
    }

    /// Workers to which a start may be sent that reaches them by `until`.
    pub(crate) fn tickets(&self, until: Duration) -> impl Iterator<Item = &WorkerId> {
        self.healthy.iter().filter(move |(_, ticket)| ticket.holds(until)).map(|(worker, _)| worker)
    }
}

impl Engine {
    /// Takes in the adviser's answer: who of `asked` may run the unit.
    pub fn advice_received(&mut self, unit: Unit, asked: &[WorkerId], healthy: Vec<(WorkerId, Ticket)>) {
        self.count_shares(unit, asked, &healthy);
        let Some(state) = self.unit_mut(unit) else { return };
        state.advice.answered(asked);
        state.retry_at = Duration::ZERO;
        state.advice.asked.extend(asked.iter().cloned());
        state.advice.healthy.extend(healthy);
    }

    /// A question about `asked` got no answer.
    pub fn advice_failed(&mut self, unit: Unit, asked: &[WorkerId]) {
        if let Some(state) = self.unit_mut(unit) {
            state.advice.answered(asked);
        }
    }

    /// Counts how many of the workers that weren't asked about before may run the unit.
    fn count_shares(&mut self, unit: Unit, asked: &[WorkerId], healthy: &[(WorkerId, Ticket)]) {
        let Some(entry) = self.jobs.get(&unit.job) else { return };
        let Some(state) = entry.units.get(&(unit.round, unit.step)) else { return };
        let new = |worker: &&WorkerId| !state.advice.asked.contains(*worker);
        let named = asked.iter().filter(new).count();
        let good = healthy.iter().map(|(worker, _)| worker).filter(new).count();
        let queue = entry.queue.clone();
        self.shares.add(&queue, named, good);
    }

    pub(crate) fn drop_ticket(&mut self, unit: Unit, worker: &str) {
        if let Some(state) = self.unit_mut(unit)
            && let Some(ticket) = state.advice.healthy.get_mut(worker)
        {
            ticket.until = Duration::ZERO;
        }
    }
}
