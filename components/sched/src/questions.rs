//! What to ask the adviser next about a unit: whom to name, and in how many questions.
//!
//! The adviser works on one question of each calling host at a time, and a long question takes long. So what a unit needs is
//! asked in several short questions at once where hosts are free, and its tickets come, and hold, together. With one question at a
//! time the tickets of the first answers have run out before the last comes, and a wide gang never begins.

use std::cmp::Reverse;
use std::time::Duration;

use model::Resources;
use work::{Advice, Queue, Unit, WorkerId};

use crate::advice::UnitAdvice;
use crate::assemble::MAX_STOP_TIME;
use crate::engine::{Clock, Engine};
use crate::room::{Place, Room};

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

/// What is to be asked about.
pub(crate) struct Inquiry<'a> {
    pub unit: Unit,
    /// How long the adviser takes.
    pub advice: Advice,
    pub queue: &'a Queue,
    pub room: &'a Room,
    /// Whether places are found where others can be stopped, too; see [`crate::assemble`].
    pub assembles: bool,
}

/// Names are added until the room expected on healthy workers is this many times what the unit needs.
const ROOM_FACTOR: f64 = 2.0;
/// Fewest workers named in a question that isn't only about known ones.
const MIN_NAMED: usize = 6;
/// As many are named as leave this chance that none of them may run the unit: another question costs a lasting task half a
/// second of the ten in which it is to be back.
const MAX_CHANCE_OF_NONE: f64 = 0.02;
/// Most workers that a question may name: a bound of the adviser.
const MAX_NAMED: usize = 100;
/// What a worker without room at the moment counts for, in tasks: its room may come back soon.
const FULL_WORKER_TASKS: f64 = 0.3;
/// A question isn't split further once naming its workers takes less than this share of what any question takes.
const MIN_NAMING_SHARE: f64 = 0.5;
/// A unit takes at most this share of the hosts that are free to ask, so that others that come at the same time find some, too. Where few
/// are free it puts one question at a time.
const MAX_ASKER_SHARE: f64 = 0.125;
/// While answers are outstanding, further questions must be expected to bring this share of what the unit needs: else each
/// worker on which room comes free is asked about by itself.
const MIN_EXPECTED_SHARE: f64 = 0.25;

/// A worker that a question could name.
#[derive(Clone, Copy)]
struct Named<'a> {
    id: &'a WorkerId,
    /// Tasks for which it is expected to give room.
    expected: f64,
}

/// Room for a unit's tasks on workers that were named before, in tasks.
struct Supply<'a> {
    /// Where a ticket holds long enough.
    held: f64,
    /// Expected on workers that are named in questions under way.
    coming: f64,
    /// Workers that may run the unit and need a new ticket, those with most room first.
    expired: Vec<Named<'a>>,
}

impl Engine {
    /// Takes note of how many hosts are free to ask the adviser a long question.
    pub fn set_askers(&mut self, free: usize) {
        self.askers = free;
    }

    /// The next questions for a unit; none if none would help.
    pub(crate) fn questions(&self, clock: Clock, inquiry: &Inquiry) -> Vec<Question> {
        let Inquiry { unit, advice, queue, assembles, .. } = *inquiry;
        let most = most_questions(self.askers);
        let claimed = self.claimed(clock, unit).filter(|_| assembles);
        let others = || self.named(clock, inquiry, most).unwrap_or_default();
        let workers = claimed.unwrap_or_else(others);
        let question = |workers: &[WorkerId]| Question {
            unit,
            workers: workers.to_vec(),
            cost: cost(advice, workers.len()),
            priority: queue.priority,
            validity: advice.validity,
        };
        workers.chunks(length(workers.len(), advice, most)).take(most).map(question).collect()
    }

    /// Where room is claimed for a gang, the workers there whose tickets don't hold until the room has come free.
    fn claimed(&self, clock: Clock, unit: Unit) -> Option<Vec<WorkerId>> {
        let state = self.unit(unit).filter(|state| !state.claims.is_empty())?;
        let until = self.start_arrival(clock) + MAX_STOP_TIME;
        let short = |worker: &&WorkerId| !state.advice.allows(worker, until) && !state.advice.asking.contains(*worker);
        Some(state.claims.iter().map(|claim| &claim.worker).filter(short).cloned().collect())
    }

    /// Workers that the next questions for a unit name: known ones whose tickets run out, then others.
    fn named(&self, clock: Clock, inquiry: &Inquiry, most: usize) -> Option<Vec<WorkerId>> {
        let Inquiry { unit, advice, queue, room, assembles } = *inquiry;
        let entry = self.jobs.get(&unit.job)?;
        let state = self.unit(unit)?;
        let step = entry.step(unit.step)?;
        let needed = state.pending as f64;
        let share = self.shares.get(&queue.name);
        let slots = |place: &Place| {
            let reclaimable =
                if assembles { self.reclaimable_room(&place.id, queue.priority) } else { Resources::ZERO };
            place.suits(queue, step).then(|| place.tasks_in(&place.free_after(&reclaimable), state, step))
        };
        let idle = state.advice.asking.is_empty();
        let scarce = most == 1;
        if scarce && !idle {
            return None;
        }
        // A gang's tickets should still hold when the next answers come, where that costs no other unit its turn.
        let start_arrival = self.start_arrival(clock);
        let until = if step.gang && !scarce { start_arrival + cost(advice, MIN_NAMED) } else { start_arrival };
        let Supply { held, coming, expired } = supply(&state.advice, room, share, until, slots);
        let there = held + coming;
        if there >= needed {
            return None;
        }
        // Full workers are asked about one question at a time, to learn who may run the unit once room comes.
        let full_too = idle && state.advice.asked.len() < room.places.len();
        let known = expected(&expired);
        let missing = if there + known < needed { ROOM_FACTOR * needed - there - known } else { 0.0 };
        let fresh = fresh(&state.advice, share, missing, state.pending, room, most * MAX_NAMED, |place| {
            slots(place).filter(|slots| *slots > 0 || full_too)
        });
        // Tickets for a part of a gang are of no use.
        let whole = !step.gang || there + known + expected(&fresh) >= needed;
        let renewed = if whole { at_most(expired, ROOM_FACTOR * needed - there) } else { Vec::new() };
        if !idle && expected(&renewed) + expected(&fresh) < MIN_EXPECTED_SHARE * needed {
            return None;
        }
        Some(renewed.into_iter().chain(fresh).map(|named| named.id.clone()).collect())
    }
}

/// What the workers that were named before give.
fn supply<'a>(
    known: &UnitAdvice,
    room: &'a Room,
    share: f64,
    until: Duration,
    slots: impl Fn(&Place) -> Option<usize>,
) -> Supply<'a> {
    let mut supply = Supply { held: 0.0, coming: 0.0, expired: Vec::new() };
    let places = |worker: &WorkerId| {
        let place = room.place(worker)?;
        Some((place, slots(place).filter(|slots| *slots > 0)? as f64))
    };
    for (worker, _) in known.healthy.iter().filter(|(worker, _)| !known.asking.contains(*worker)) {
        let Some((place, slots)) = places(worker) else { continue };
        match known.allows(worker, until) {
            true => supply.held += slots,
            false => supply.expired.push(Named { id: &place.id, expected: slots }),
        }
    }
    for worker in &known.asking {
        let chance = if known.healthy.contains_key(worker) { 1.0 } else { share };
        supply.coming += places(worker).map_or(0.0, |(_, slots)| chance * slots);
    }
    supply.expired.sort_by(|a, b| b.expected.total_cmp(&a.expected));
    supply
}

/// Workers that weren't asked about yet, as many as are expected to give room for `missing` tasks; none if it is 0.
fn fresh<'a>(
    known: &UnitAdvice,
    share: f64,
    missing: f64,
    tasks: usize,
    room: &'a Room,
    most: usize,
    slots: impl Fn(&Place) -> Option<usize>,
) -> Vec<Named<'a>> {
    let mut workers = Vec::new();
    if missing <= 0.0 {
        return workers;
    }
    let fewest = fewest_named(share);
    let asked = |place: &Place| known.asked.contains(&place.id) || known.asking.contains(&place.id);
    // Room is looked at first: that costs less, and while many units wait there is little.
    let open = room.places.iter().enumerate().filter_map(|(index, place)| Some((index, slots(place)?)));
    let open = open.filter(|(index, _)| !asked(&room.places[*index])).collect();
    let mut found = 0.0;
    for (index, slots) in best(open, tasks, room, most) {
        // Where there is no room one question is enough, to learn who may run the unit.
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

/// The first of `named` that give room for `tasks`.
fn at_most(named: Vec<Named>, tasks: f64) -> Vec<Named> {
    let mut found = 0.0;
    let enough = |named: &Named| {
        let before = found;
        found += named.expected;
        before < tasks
    };
    named.into_iter().take_while(enough).collect()
}

/// How long the adviser takes for a question that names so many.
fn cost(advice: Advice, named: usize) -> Duration {
    advice.base + advice.per_worker * named as u32
}

/// How many questions a unit may put at once, where so many hosts are free.
fn most_questions(askers: usize) -> usize {
    ((askers as f64 * MAX_ASKER_SHARE) as usize).max(1)
}

/// How many workers each question names, where `named` are to be named in at most so many questions.
fn length(named: usize, advice: Advice, most: usize) -> usize {
    let naming = advice.per_worker.as_secs_f64() * named as f64;
    let split = (naming / (MIN_NAMING_SHARE * advice.base.as_secs_f64()).max(f64::MIN_POSITIVE)).ceil();
    let questions = (split as usize).clamp(1, most);
    named.div_ceil(questions).clamp(1, MAX_NAMED)
}

/// How many workers to name at least, where this share of them may run a unit.
fn fewest_named(share: f64) -> usize {
    let enough = MAX_CHANCE_OF_NONE.ln() / (1.0 - share).max(f64::MIN_POSITIVE).ln();
    (enough.ceil() as usize).clamp(MIN_NAMED, MAX_NAMED)
}

/// Of places, each with the tasks that fit there, the `most` that questions may name, the best first: with room for all
/// tasks, and of these the fullest, so that empty workers stay whole for larger tasks.
fn best(mut open: Vec<(usize, usize)>, tasks: usize, room: &Room, most: usize) -> Vec<(usize, usize)> {
    let key =
        |(index, slots): &(usize, usize)| (Reverse((*slots).min(tasks)), room.places[*index].free.cpu_milli, *index);
    // Of thousands of workers only those that may be named are put in order.
    if open.len() > most {
        open.select_nth_unstable_by_key(most, key);
        open.truncate(most);
    }
    open.sort_by_key(key);
    open
}
