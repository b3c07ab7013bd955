//! Chooses the next questions to the advice service about a unit: which workers to name, and in how many questions.
//!
//! The advice service works on one question per calling host at a time, and its answer takes longer the more workers
//! are named. If several hosts are free, a unit's workers are therefore split into several short questions that are
//! asked at once, so that all tickets arrive, and are valid, together. With one question at a time, the tickets of
//! the first answers would expire before the last one arrives, and a wide gang would never start.

use std::cmp::Reverse;
use std::time::Duration;

use model::Resources;
use work::{Advice, Queue, Unit, WorkerId};

use crate::advice::UnitAdvice;
use crate::advice_order::Hosts;
use crate::assemble::MAX_STOP_TIME;
use crate::engine::{Clock, Engine};
use crate::room::{Place, Room};

/// A question to the advice service.
#[derive(Clone, Debug)]
pub struct Question {
    /// The unit that the workers are to run.
    pub unit: Unit,
    /// Workers to name.
    pub workers: Vec<WorkerId>,
    /// How long the advice service is expected to take.
    pub cost: Duration,
    /// How long the tickets are valid.
    pub validity: Duration,
}

/// What a question is based on.
pub(crate) struct Inquiry<'a> {
    pub unit: Unit,
    /// Response times of the advice service.
    pub advice: Advice,
    pub queue: &'a Queue,
    pub room: &'a Room,
    /// Whether room that preemption can free counts, too; see [`crate::assemble`].
    pub count_preemptible: bool,
}

/// Workers are named until their expected room is this multiple of what the unit needs.
const ROOM_FACTOR: f64 = 2.0;
/// Minimum number of workers that a question names, unless it is only about known ones.
const MIN_NAMED: usize = 6;
/// Enough workers are named that the probability that none of them may run the unit is at most this. Another question
/// costs a long-running task half a second of the ten within which it must run again.
const MAX_CHANCE_OF_NONE: f64 = 0.02;
/// Maximum number of workers that a question may name; a limit of the advice service.
const MAX_NAMED: usize = 100;
/// Number of tasks that a worker counts for while it has no room, which it may have soon.
const FULL_WORKER_TASKS: f64 = 0.3;
/// Questions aren't split further once the time for the named workers is less than this share of the fixed time per
/// question. While hosts are scarce, a question names at least as many: each further ticket then costs least.
const MIN_NAMING_SHARE: f64 = 0.5;
/// Maximum share of the free hosts that a unit uses for its questions, so that other units find free hosts at the
/// same time. With few free hosts a unit asks one question at a time.
const MAX_ASKER_SHARE: f64 = 0.125;
/// While answers are outstanding, further questions must be expected to give this share of what the unit needs.
/// Otherwise each worker on which room becomes free would be asked about in a question of its own.
const MIN_EXPECTED_SHARE: f64 = 0.25;

/// A worker that a question could name.
#[derive(Clone, Copy)]
struct Named<'a> {
    id: &'a WorkerId,
    /// Number of tasks that it is expected to have room for.
    expected: f64,
}

/// What a unit wants of workers that weren't asked about yet.
struct Wanted {
    /// Number of tasks to find room for; no worker is named if that is 0.
    missing: f64,
    /// Number of tasks that wait for a place.
    tasks: usize,
    /// Minimum and maximum number of workers to name.
    fewest: usize,
    most: usize,
}

/// Room for a unit's tasks on workers that were named before, as a number of tasks.
struct Supply<'a> {
    /// On workers whose tickets are valid for long enough.
    held: f64,
    /// Expected on workers that are named in unanswered questions.
    outstanding: f64,
    /// Workers that may run the unit but need a new ticket, those with most room first.
    expired: Vec<Named<'a>>,
}

impl Engine {
    /// The next questions for a unit; none if no question would help.
    pub(crate) fn questions(&self, clock: Clock, inquiry: &Inquiry) -> Vec<Question> {
        let Inquiry { unit, advice, count_preemptible, .. } = *inquiry;
        let most = max_questions(self.askers.map_or(1, Hosts::free_for_long));
        let claimed = self.claimed(clock, unit, inquiry.room).filter(|_| count_preemptible);
        let others = || self.named(clock, inquiry, most).unwrap_or_default();
        let workers = claimed.unwrap_or_else(others);
        let question = |workers: &[WorkerId]| Question {
            unit,
            workers: workers.to_vec(),
            cost: cost(advice, workers.len()),
            validity: advice.validity,
        };
        workers.chunks(workers_per_question(workers.len(), advice, most)).take(most).map(question).collect()
    }

    /// If room is reserved for a gang, the workers there whose tickets expire before the room is free.
    fn claimed(&self, clock: Clock, unit: Unit, room: &Room) -> Option<Vec<WorkerId>> {
        let state = self.unit(unit).filter(|state| !state.claims.is_empty())?;
        let until = self.start_arrival(clock) + MAX_STOP_TIME;
        let short = |worker: &&WorkerId| {
            let number = room.number(worker);
            number.is_none_or(|number| !state.advice.allows(number, until) && !state.advice.asking.contains(number))
        };
        Some(state.claims.iter().map(|claim| &claim.worker).filter(short).cloned().collect())
    }

    /// Workers to name in the next questions for a unit: first known ones whose tickets expire, then others.
    fn named(&self, clock: Clock, inquiry: &Inquiry, most: usize) -> Option<Vec<WorkerId>> {
        let Inquiry { unit, advice, queue, room, count_preemptible } = *inquiry;
        let entry = self.jobs.get(&unit.job)?;
        let state = self.unit(unit)?;
        let step = entry.step(unit.step)?;
        let needed = state.pending as f64;
        let share = self.shares.get(&queue.name);
        let slots = |place: &Place| {
            let reclaimable =
                if count_preemptible { self.reclaimable_room(&place.id, queue.priority) } else { Resources::ZERO };
            place
                .is_suitable(queue, step)
                .then(|| place.tasks_in(&place.uncontended(&reclaimable, queue.priority), state, step))
        };
        let idle = state.advice.asking.is_empty();
        let scarce = most == 1;
        if scarce && !idle {
            return None;
        }
        // A gang's tickets should still be valid when the next answers arrive, unless that delays questions of other
        // units.
        let start_arrival = self.start_arrival(clock);
        let until = if step.gang && !scarce { start_arrival + cost(advice, MIN_NAMED) } else { start_arrival };
        let Supply { held, outstanding, expired } = supply(&state.advice, room, share, until, slots);
        let covered = held + outstanding;
        if covered >= needed {
            return None;
        }
        // While no question is open, full workers are asked about as well, to learn which ones may run the unit once
        // they have room.
        let scarce_hosts = self.askers.is_some_and(Hosts::scarce);
        let include_full = idle && state.advice.asked.len() < room.places.len();
        let known = expected(&expired);
        let missing = if covered + known < needed { ROOM_FACTOR * needed - covered - known } else { 0.0 };
        let fewest = min_named(share).max(if scarce_hosts { naming_for(advice, MIN_NAMING_SHARE) } else { 0 });
        let wanted = Wanted { missing, tasks: state.pending, fewest, most: most * MAX_NAMED };
        let unasked = unasked_workers(&state.advice, share, &wanted, room, |place| {
            slots(place).filter(|slots| *slots > 0 || include_full)
        });
        // Tickets for only a part of a gang are useless.
        let whole = !step.gang || covered + known + expected(&unasked) >= needed;
        let renewed = if whole { take_enough(expired, ROOM_FACTOR * needed - covered) } else { Vec::new() };
        if !idle && expected(&renewed) + expected(&unasked) < MIN_EXPECTED_SHARE * needed {
            return None;
        }
        Some(renewed.into_iter().chain(unasked).map(|named| named.id.clone()).collect())
    }
}

/// Room on the workers that were named before.
fn supply<'a>(
    known: &UnitAdvice,
    room: &'a Room,
    share: f64,
    until: Duration,
    slots: impl Fn(&Place) -> Option<usize>,
) -> Supply<'a> {
    let mut supply = Supply { held: 0.0, outstanding: 0.0, expired: Vec::new() };
    let places = |worker: usize| {
        let place = room.numbered(worker)?;
        Some((place, slots(place).filter(|slots| *slots > 0)? as f64))
    };
    for worker in known.healthy.keys().copied().filter(|worker| !known.asking.contains(*worker)) {
        let Some((place, slots)) = places(worker) else { continue };
        match known.allows(worker, until) {
            true => supply.held += slots,
            false => supply.expired.push(Named { id: &place.id, expected: slots }),
        }
    }
    for worker in known.asking.iter() {
        let chance = known.chance(worker, share);
        supply.outstanding += places(worker).map_or(0.0, |(_, slots)| chance * slots);
    }
    supply.expired.sort_by(|a, b| b.expected.total_cmp(&a.expected));
    supply
}

/// Workers that weren't asked about yet, with expected room for what is wanted.
fn unasked_workers<'a>(
    known: &UnitAdvice,
    share: f64,
    wanted: &Wanted,
    room: &'a Room,
    slots: impl Fn(&Place) -> Option<usize>,
) -> Vec<Named<'a>> {
    let Wanted { missing, tasks, fewest, most } = *wanted;
    let mut workers = Vec::new();
    if missing <= 0.0 {
        return workers;
    }
    let asked = |place: &Place| known.asked.contains(place.number) || known.asking.contains(place.number);
    // Room is checked first: that is cheaper, and while many units wait there is little room.
    let open = room.places.iter().enumerate().filter_map(|(index, place)| Some((index, slots(place)?)));
    let open = open.filter(|(index, _)| !asked(&room.places[*index])).collect();
    let mut found = 0.0;
    for (index, slots) in best_places(open, tasks, room, most) {
        // Among workers without room one question is enough, to learn which ones may run the unit.
        let full = slots == 0 && workers.len() >= MAX_NAMED;
        if full || (found >= missing && workers.len() >= fewest) {
            break;
        }
        let expected = share * (slots as f64).max(FULL_WORKER_TASKS);
        found += expected;
        workers.push(Named { id: &room.places[index].id, expected });
    }
    workers
}

fn expected(named: &[Named]) -> f64 {
    named.iter().map(|named| named.expected).sum()
}

/// The first of `named` that together have room for `tasks`.
fn take_enough(named: Vec<Named>, tasks: f64) -> Vec<Named> {
    let mut found = 0.0;
    let enough = |named: &Named| {
        let before = found;
        found += named.expected;
        before < tasks
    };
    named.into_iter().take_while(enough).collect()
}

/// The expected response time for a question that names this many workers.
fn cost(advice: Advice, named: usize) -> Duration {
    advice.base + advice.per_worker * named as u32
}

/// The number of workers whose naming takes this share of the fixed time of a question.
fn naming_for(advice: Advice, share: f64) -> usize {
    let named = share * advice.base.as_secs_f64() / advice.per_worker.as_secs_f64().max(f64::MIN_POSITIVE);
    (named as usize).min(MAX_NAMED)
}

/// The expected response times of all questions together for tasks of which each worker has room for
/// `tasks_per_worker`, if `share` of the workers may run them.
pub(crate) fn expected_cost(advice: Advice, share: f64, tasks: usize, tasks_per_worker: f64) -> Duration {
    let named = (ROOM_FACTOR * tasks as f64 / (share * tasks_per_worker)).ceil() as usize;
    cost(advice, named.clamp(min_named(share), MAX_NAMED))
}

/// The number of questions that a unit may ask at once, given the number of free hosts.
fn max_questions(askers: usize) -> usize {
    ((askers as f64 * MAX_ASKER_SHARE) as usize).max(1)
}

/// The number of workers that each question names, if `named` workers are split into at most `most` questions.
fn workers_per_question(named: usize, advice: Advice, most: usize) -> usize {
    let naming = advice.per_worker.as_secs_f64() * named as f64;
    let split = (naming / (MIN_NAMING_SHARE * advice.base.as_secs_f64()).max(f64::MIN_POSITIVE)).ceil();
    let questions = (split as usize).clamp(1, most);
    named.div_ceil(questions).clamp(1, MAX_NAMED)
}

/// The minimum number of workers to name, given the share of workers that may run the unit.
fn min_named(share: f64) -> usize {
    let enough = MAX_CHANCE_OF_NONE.ln() / (1.0 - share).max(f64::MIN_POSITIVE).ln();
    (enough.ceil() as usize).clamp(MIN_NAMED, MAX_NAMED)
}

/// The best `most` of the `open` workers, given with the number of tasks that fit there: first those with room for
/// all tasks, and among them the fullest, so that empty workers remain free for larger tasks.
fn best_places(mut open: Vec<(usize, usize)>, tasks: usize, room: &Room, most: usize) -> Vec<(usize, usize)> {
    let key =
        |(index, slots): &(usize, usize)| (Reverse((*slots).min(tasks)), room.places[*index].free.cpu_milli, *index);
    // Out of thousands of workers only those that may be named are sorted.
    if open.len() > most {
        open.select_nth_unstable_by_key(most, key);
        open.truncate(most);
    }
    open.sort_by_key(key);
    open
}
