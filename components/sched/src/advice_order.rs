//! Decides which units ask the advice service next, while more units want to ask than there are free hosts.
//!
//! The service works on one question per calling host at a time, so the hosts' time is what limits how many tasks can
//! get tickets. Under a burst of urgent jobs, or of gangs whose tickets expire before they find room, one queue would
//! otherwise use all of it while the cell stands half empty.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use model::Resources;
use work::{Advice, Queue, QueueName, Step, Unit};

use crate::engine::{Action, Clock, Engine};
use crate::entry::UnitState;
use crate::questions::{Inquiry, Question};
use crate::rank::{Candidate, Key, urgency};
use crate::reports::taken_room;
use crate::room::Room;

/// Interval after which further questions for a unit are considered: about as often as room changes.
const ASK_INTERVAL: Duration = Duration::from_millis(50);
/// Questions that take at least this long must leave some hosts free for short ones. A job with a quarter of a second to
/// spare can't wait until one is answered.
const LONG_QUESTION: Duration = Duration::from_millis(100);
/// One in this many hosts is left for short questions: each takes so little time that few hosts can ask many.
const HOSTS_PER_SHORT_QUESTION: usize = 8;
/// Time over which the hosts' time of each queue is compared. Tickets are valid for about as long: a queue that gets
/// none for longer has nothing left to start.
const COMPARED_TIME: Duration = Duration::from_secs(2);
/// Host time below which a queue is forgotten, so that queues that were removed from the configuration are.
const NEGLIGIBLE_SECONDS: f64 = 1e-6;
/// Part of the hosts' time that is divided evenly among the queues that have something to ask. The other part goes to
/// the most urgent units.
const SHARED_PART: f64 = 0.5;

/// Hosts that can ask the advice service.
#[derive(Clone, Copy, Debug)]
pub struct Hosts {
    pub all: usize,
    /// Those that aren't asking a question.
    pub free: usize,
    /// Those that are asking a long question; see [`is_long`].
    pub long: usize,
}

/// Whether a question that takes this long must leave some hosts to short ones.
pub fn is_long(cost: Duration) -> bool {
    cost >= LONG_QUESTION
}

impl Hosts {
    /// How many of the free hosts may ask a long question. A few are reserved for short ones, unless there is only one
    /// host in all. Long questions never wait until that many are free at once: a burst of short ones would keep all
    /// hosts busy for its whole length.
    pub(crate) fn free_for_long(self) -> usize {
        let reserved = if self.all <= 1 { 0 } else { (self.all / HOSTS_PER_SHORT_QUESTION).max(1) };
        self.all.saturating_sub(reserved + self.long).min(self.free)
    }

    /// Whether questions are limited by the number of hosts: more than half of them are busy.
    pub(crate) fn scarce(self) -> bool {
        self.free * 2 < self.all
    }

    fn allows(self, question: &Question) -> bool {
        let free = if is_long(question.cost) { self.free_for_long() } else { self.free };
        free > 0
    }

    /// Counts a question that one of the free hosts asks.
    fn assign(&mut self, question: &Question) {
        self.free = self.free.saturating_sub(1);
        self.long += usize::from(is_long(question.cost));
    }
}

/// A unit with pending tasks that wants to ask a question. It is kept until a host is free: under a backlog a unit isn't
/// examined again for some time.
#[derive(Debug)]
pub(crate) struct Request {
    unit: Unit,
    /// Its place in the order of units when it was last examined.
    key: Key,
    queue: QueueName,
}

/// Recent time of the hosts on questions, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostTime {
    /// When `used` was last decayed.
    at: Duration,
    /// Seconds, decaying exponentially with [`COMPARED_TIME`].
    used: HashMap<QueueName, f64>,
}

impl HostTime {
    /// Counts a question of a queue.
    fn add(&mut self, now: Duration, queue: &str, cost: Duration) {
        self.decay(now);
        *self.used.entry(queue.to_owned()).or_default() += cost.as_secs_f64();
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let left = (-passed / COMPARED_TIME.as_secs_f64()).exp();
        self.used.retain(|_, used| {
            *used *= left;
            *used > NEGLIGIBLE_SECONDS
        });
    }

    fn of(&self, queue: &str) -> f64 {
        self.used.get(queue).copied().unwrap_or_default()
    }

    /// The position of the queue that is served next: the one that is furthest below its part of the hosts' time, or the
    /// one with the most urgent unit if none is below it. `None` if no queue has requests.
    fn next(&self, queues: &[Requests]) -> Option<usize> {
        let asking = || queues.iter().enumerate().filter(|(_, queue)| !queue.units.is_empty());
        let all: f64 = asking().map(|(_, queue)| self.of(&queue.queue)).sum();
        let least = SHARED_PART * all / asking().count().max(1) as f64;
        let below = asking().filter(|(_, queue)| self.of(&queue.queue) < least);
        let neediest = below.min_by(|a, b| self.of(&a.1.queue).total_cmp(&self.of(&b.1.queue)));
        let first = || asking().min_by_key(|(_, queue)| queue.units.front().copied());
        neediest.or_else(first).map(|(index, _)| index)
    }
}

/// The requests of one queue.
#[derive(Debug)]
struct Requests {
    queue: QueueName,
    /// Its units, the most urgent first.
    units: VecDeque<(Key, Unit)>,
}

/// Groups requests by queue.
fn by_queue<'a>(requests: impl Iterator<Item = &'a Request>) -> Vec<Requests> {
    let mut queues: Vec<Requests> = Vec::new();
    for Request { unit, key, queue } in requests {
        match queues.iter_mut().find(|known| known.queue == *queue) {
            Some(known) => known.units.push_back((*key, *unit)),
            None => queues.push(Requests { queue: queue.clone(), units: VecDeque::from([(*key, *unit)]) }),
        }
    }
    queues.iter_mut().for_each(|queue| queue.units.make_contiguous().sort_unstable());
    queues
}

/// Room that units are expected to use on the workers that are named in their open questions.
#[derive(Debug, Default)]
struct Expectations(HashMap<Unit, Vec<(usize, Resources)>>);

impl Expectations {
    /// Adds what a unit is expected to use: the tasks that fit on each named worker, weighted by the chance that it may
    /// run the unit, but no more in total than wait for a place. `share` is that chance for a worker that wasn't asked
    /// about before. A gang that isn't expected to find room for all its tasks uses none.
    fn add(&mut self, unit: Unit, state: &UnitState, step: &Step, queue: &Queue, share: f64, room: &mut Room) {
        let fitting = |worker: usize| {
            let index = room.position(worker)?;
            let place = &room.places[index];
            let tasks = place.tasks_in(&place.uncontended(&Resources::ZERO, queue.priority), state, step);
            let chance = state.advice.chance(worker, share);
            (tasks > 0).then_some((index, tasks as f64 * chance))
        };
        let found: Vec<(usize, f64)> = state.advice.asking.iter().filter_map(fitting).collect();
        let all: f64 = found.iter().map(|(_, tasks)| tasks).sum();
        let needed = state.pending as f64;
        if step.gang && all < needed {
            return;
        }
        let part = (needed / all).min(1.0);
        let need = taken_room(step);
        let used: Vec<_> = found.into_iter().map(|(index, tasks)| (index, need.scaled(tasks * part))).collect();
        room.expect(queue.priority, &used);
        self.0.insert(unit, used);
    }

    /// Removes what a unit was expected to use.
    fn remove(&mut self, unit: Unit, queue: &Queue, room: &mut Room) {
        room.unexpect(queue.priority, &self.0.remove(&unit).unwrap_or_default());
    }
}

impl Engine {
    /// Sets the number of hosts that can ask the advice service, and what they are doing.
    pub fn set_askers(&mut self, hosts: Hosts) {
        self.askers = Some(hosts);
    }

    /// Notes whether a unit that was examined wants to ask a question.
    pub(crate) fn update_request(&mut self, clock: Clock, candidate: &Candidate, queue: &Queue, may_ask: bool) {
        let unit = candidate.unit;
        let asks = |state: &&UnitState| may_ask && state.pending > 0 && clock.now >= state.advice.ask_at;
        if queue.advice.is_some() && self.unit(unit).filter(asks).is_some() {
            self.requests.insert(unit, Request { unit, key: candidate.key(), queue: queue.name.clone() });
        } else {
            self.requests.remove(&unit);
        }
    }

    /// Asks the next questions of the requesting units while hosts are free.
    pub(crate) fn ask(&mut self, clock: Clock, room: &mut Room) {
        if self.requests.is_empty() || self.askers.is_some_and(|hosts| hosts.free == 0) {
            return;
        }
        self.requests.retain(|unit, _| self.live.contains(&unit.job));
        self.host_time.decay(clock.now);
        // A unit that is less urgent than one that the budget of starts holds back can't start soon, and its tickets would
        // expire.
        let is_next = |request: &&Request| self.held_back.is_none_or(|first| urgency(request.key) <= first);
        let mut queues = by_queue(self.requests.values().filter(is_next));
        queues.retain(|queue| self.may_ask(&queue.queue));
        if queues.is_empty() {
            return;
        }
        let mut expectations = self.expectations(room);
        while self.askers.is_none_or(|hosts| hosts.free > 0) {
            let Some(Requests { queue, units }) = self.host_time.next(&queues).map(|next| &mut queues[next]) else {
                return;
            };
            if !self.may_ask(queue) {
                units.clear();
            }
            if let Some((_, unit)) = units.pop_front() {
                self.requests.remove(&unit);
                self.ask_for(clock, unit, queue, room, &mut expectations);
            }
        }
    }

    /// Whether a host is free for the questions of a queue.
    fn may_ask(&self, queue: &str) -> bool {
        let is_long = |advice: Advice| is_long(advice.base);
        let long = self.queues.get(queue).and_then(|queue| queue.advice).is_some_and(is_long);
        !long || self.askers.is_none_or(|hosts| hosts.free_for_long() > 0)
    }

    /// What all units with open questions are expected to use. While hosts are plentiful nothing is expected: a
    /// question too many then costs nothing, and one too few delays a start.
    fn expectations(&mut self, room: &mut Room) -> Expectations {
        let mut expectations = Expectations::default();
        let open = |unit: &Unit| self.unit(*unit).is_some_and(|state| !state.advice.asking.is_empty());
        let units: BTreeSet<Unit> = self.open_questions.iter().copied().filter(open).collect();
        self.open_questions = units;
        if !self.askers.is_some_and(Hosts::scarce) {
            return expectations;
        }
        for unit in &self.open_questions {
            let Some(entry) = self.jobs.get(&unit.job) else { continue };
            let Some(queue) = self.queues.get(&entry.queue) else { continue };
            let (Some(step), Some(state)) = (entry.step(unit.step), self.unit(*unit)) else { continue };
            expectations.add(*unit, state, step, queue, self.shares.get(&queue.name), room);
        }
        expectations
    }

    /// Asks the next questions for a unit. A unit for whose questions no host is free asks again when it is examined.
    fn ask_for(&mut self, clock: Clock, unit: Unit, queue: &str, room: &mut Room, expectations: &mut Expectations) {
        let Some(queue) = self.queues.get(queue).cloned() else { return };
        let Some(advice) = queue.advice else { return };
        let Some(job) = self.jobs.get(&unit.job).map(|entry| entry.job.clone()) else { return };
        let Some(step) = job.steps.get(usize::from(unit.step)) else { return };
        // Room that preemption can free counts, too.
        let assembles = self.should_assemble(clock, unit, step);
        if assembles {
            self.refresh_reclaimable(clock, queue.priority);
        }
        let Some(claims) = self.unit(unit).map(|state| state.claims.clone()) else { return };
        room.unclaim(&claims, &taken_room(step));
        expectations.remove(unit, &queue, room);
        let inquiry = Inquiry { unit, advice, queue: &queue, room, count_preemptible: assembles };
        let questions = self.questions(clock, &inquiry);
        let named: Vec<usize> =
            questions.iter().flat_map(|question| &question.workers).map(|worker| room.assign_number(worker)).collect();
        room.claim(&claims, &taken_room(step));
        let hosts = self.askers;
        if questions.iter().all(|question| hosts.is_none_or(|hosts| hosts.allows(question))) {
            if let Some(state) = self.unit_mut_unmarked(unit) {
                state.advice.ask_at = clock.now + ASK_INTERVAL;
                named.into_iter().for_each(|worker| state.advice.asking.insert(worker));
            }
            questions.into_iter().for_each(|question| self.send_question(clock, &queue, question));
        }
        if hosts.is_some_and(Hosts::scarce)
            && let Some(state) = self.unit(unit)
        {
            expectations.add(unit, state, step, &queue, self.shares.get(&queue.name), room);
        }
    }

    fn send_question(&mut self, clock: Clock, queue: &Queue, question: Question) {
        self.open_questions.insert(question.unit);
        self.host_time.add(clock.now, &queue.name, question.cost);
        if let Some(hosts) = &mut self.askers {
            hosts.assign(&question);
        }
        self.actions.push(Action::Ask(question));
    }
}
