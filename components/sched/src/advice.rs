//! Which workers may run a unit: what the adviser said, and what to ask it next.
//!
//! Who may run a unit never changes; only tickets run out. So the first question names enough workers to find room
//! on, and later ones only those that are known to do.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use work::{Advice, Queue, QueueName, Unit, WorkerId};

use crate::engine::{Clock, Engine};
use crate::limits::TICKET_MARGIN;
use crate::room::{Place, Room};

/// Permission to start the tasks of a unit on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What a start brings.
    pub text: String,
    /// Until when it holds, on this process's steady clock.
    pub until: Duration,
}

impl Ticket {
    /// Whether it holds long enough for a start that is sent now.
    fn holds(&self, now: Duration) -> bool {
        self.until > now + TICKET_MARGIN
    }
}

/// What is known of a unit's workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    /// Workers that were named in an answered question.
    pub asked: BTreeSet<WorkerId>,
    /// Those that may run it, each with its last ticket.
    pub healthy: BTreeMap<WorkerId, Ticket>,
    /// Whether a question is under way.
    pub asking: bool,
    /// A question isn't looked for before this time: the last look found none that would help.
    pub ask_at: Duration,
}

/// A question to the adviser.
#[derive(Clone, Debug)]
pub struct Question {
    /// The unit.
    pub unit: Unit,
    /// Workers to name.
    pub workers: Vec<WorkerId>,
    /// How long the adviser will take.
    pub cost: Duration,
    /// Priority of the queue; 0 goes first.
    pub priority: u32,
    /// How long the tickets hold.
    pub validity: Duration,
}

/// Shares of the named workers that could run a unit, by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares(BTreeMap<QueueName, (f64, f64)>);

/// Share expected before the first answers: below what most queues show, so that questions name enough.
const FIRST_SHARE: f64 = 0.4;
/// Weight of the expectation against answers, in named workers.
const FIRST_WEIGHT: f64 = 20.0;
/// Names are added until the room expected on healthy workers is this many times what the unit needs.
const SPARE_ROOM: f64 = 2.0;
/// Fewest workers named in a question that isn't only about known ones.
const FEWEST_NAMED: usize = 6;
/// As many are named as leave this chance that none of them may run the unit: another question costs a lasting task half a
/// second of the ten in which it is to be back. With leases reckoned as the leader before gave them, mean worth of 27 days gained
/// 0.0031 (standard error 0.0016).
const NONE_ALLOWED: f64 = 0.02;
/// Most workers that a question may name: a bound of the adviser.
const MOST_NAMED: usize = 100;
/// What a worker without room at the moment counts for, in tasks: its room may come back soon.
const ROOM_LATER: f64 = 0.3;

impl Shares {
    fn get(&self, queue: &str) -> f64 {
        let (named, good) = self.0.get(queue).copied().unwrap_or_default();
        (FIRST_SHARE * FIRST_WEIGHT + good) / (FIRST_WEIGHT + named)
    }

    fn add(&mut self, queue: &str, named: usize, good: usize) {
        let sums = self.0.entry(queue.to_owned()).or_default();
        sums.0 += named as f64;
        sums.1 += good as f64;
    }
}

impl Known {
    /// Whether a start on this worker may be sent now.
    pub(crate) fn allows(&self, worker: &str, now: Duration) -> bool {
        self.healthy.get(worker).is_some_and(|ticket| ticket.holds(now))
    }

    /// Workers on which a start may be sent now.
    pub(crate) fn tickets(&self, now: Duration) -> impl Iterator<Item = &WorkerId> {
        self.healthy.iter().filter(move |(_, ticket)| ticket.holds(now)).map(|(worker, _)| worker)
    }
}

impl Engine {
    /// Takes in the adviser's answer: who of `asked` may run the unit.
    pub fn advised(&mut self, unit: Unit, asked: &[WorkerId], healthy: Vec<(WorkerId, Ticket)>) {
        let queue = self.jobs.get(&unit.job).map(|entry| entry.queue.clone());
        if let Some(queue) = queue {
            let fresh = self.unit(unit).map_or(0, |state| state.known.asked.len());
            if fresh == 0 {
                self.shares.add(&queue, asked.len(), healthy.len());
            }
        }
        let Some(state) = self.unit_mut(unit) else { return };
        state.known.asking = false;
        state.known.asked.extend(asked.iter().cloned());
        state.known.healthy.extend(healthy);
    }

    /// A question got no answer.
    pub fn unadvised(&mut self, unit: Unit) {
        if let Some(state) = self.unit_mut(unit) {
            state.known.asking = false;
        }
    }

    pub(crate) fn drop_ticket(&mut self, unit: Unit, worker: &str) {
        if let Some(state) = self.unit_mut(unit)
            && let Some(ticket) = state.known.healthy.get_mut(worker)
        {
            ticket.until = Duration::ZERO;
        }
    }

    /// The next question for a unit, if one would help.
    pub(crate) fn question(
        &self,
        clock: Clock,
        unit: Unit,
        advice: Advice,
        queue: &Queue,
        room: &Room,
    ) -> Option<Question> {
        let workers = self.named(clock, unit, queue, room)?;
        if workers.is_empty() {
            return None;
        }
        let cost = advice.base + advice.per_worker * workers.len() as u32;
        Some(Question { unit, workers, cost, priority: queue.priority, validity: advice.validity })
    }

    /// Workers that the next question for a unit names: known ones whose tickets have run out, or others.
    fn named(&self, clock: Clock, unit: Unit, queue: &Queue, room: &Room) -> Option<Vec<WorkerId>> {
        let entry = self.jobs.get(&unit.job)?;
        let state = self.unit(unit)?;
        let step = entry.step(unit.step)?;
        let tasks = state.pending;
        let fitting = |place: &&Place| place.suits(queue, step);
        let slots = |place: &Place| place.tasks(state, step);
        let known: Vec<&Place> =
            state.known.healthy.keys().filter_map(|worker| room.place(worker)).filter(fitting).collect();
        let known_room: usize = known.iter().map(|place| slots(place)).sum();
        let expired: Vec<&Place> =
            known.into_iter().filter(|place| !state.known.allows(&place.id, clock.now) && slots(place) > 0).collect();
        let enough = if step.gang { known_room >= tasks } else { !expired.is_empty() };
        Some(match enough {
            true => renewed(expired, tasks, slots),
            false => self
                .unasked(&state.known.asked, &queue.name, tasks, room, |place| fitting(&place).then(|| slots(place))),
        })
    }

    /// Workers that weren't asked about yet, as many as are expected to give room for `tasks`.
    fn unasked(
        &self,
        asked: &BTreeSet<WorkerId>,
        queue: &str,
        tasks: usize,
        room: &Room,
        slots: impl Fn(&Place) -> Option<usize>,
    ) -> Vec<WorkerId> {
        let share = self.shares.get(queue);
        let fewest = fewest_named(share);
        let open = room.places.iter().enumerate().filter(|(_, place)| !asked.contains(&place.id));
        let open = open.filter_map(|(index, place)| slots(place).map(|slots| (index, slots))).collect();
        let mut expected = 0.0;
        let mut workers = Vec::new();
        for (index, slots) in best(open, tasks, room) {
            let enough = expected >= SPARE_ROOM * tasks as f64 && workers.len() >= fewest;
            if enough || workers.len() == MOST_NAMED {
                break;
            }
            expected += share * (slots as f64).max(ROOM_LATER);
            workers.push(room.places[index].id.clone());
        }
        workers
    }
}

/// How many workers to name at least, where this share of them may run a unit.
fn fewest_named(share: f64) -> usize {
    let enough = NONE_ALLOWED.ln() / (1.0 - share).max(f64::MIN_POSITIVE).ln();
    (enough.ceil() as usize).clamp(FEWEST_NAMED, MOST_NAMED)
}

/// Known workers whose tickets are to be renewed: those with most room, until it is enough.
fn renewed(mut places: Vec<&Place>, tasks: usize, slots: impl Fn(&Place) -> usize) -> Vec<WorkerId> {
    places.sort_by_key(|place| Reverse(slots(place)));
    let mut found = 0.0;
    let mut workers = Vec::new();
    for place in places {
        if found >= SPARE_ROOM * tasks as f64 || workers.len() == MOST_NAMED {
            break;
        }
        found += slots(place) as f64;
        workers.push(place.id.clone());
    }
    workers
}

/// Of places, each with the tasks that fit there, those that a question may name, the best first: with room for all
/// tasks, and of these the fullest, so that empty workers stay whole for larger tasks.
fn best(mut open: Vec<(usize, usize)>, tasks: usize, room: &Room) -> Vec<(usize, usize)> {
    let key =
        |(index, slots): &(usize, usize)| (Reverse((*slots).min(tasks)), room.places[*index].free.cpu_milli, *index);
    // Of thousands of workers only those that may be named are put in order.
    if open.len() > MOST_NAMED {
        open.select_nth_unstable_by_key(MOST_NAMED, key);
        open.truncate(MOST_NAMED);
    }
    open.sort_by_key(key);
    open
}
