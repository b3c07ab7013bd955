//! Places the tasks of units on workers.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Resources;
use work::{Queue, Record, Step, Task, Unit, WorkerId};

use crate::advice::Question;
use crate::ends::taken_room;
use crate::engine::{Action, Clock, Engine, Start};
use crate::entry::{Phase, UnitState};
use crate::worker::{self, Contact, Run, Worker};

/// A worker that may get new work, with the room that is left in this pass.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub id: WorkerId,
    pub pool: String,
    pub labels: Vec<String>,
    pub free: Resources,
    pub avoided: bool,
}

/// All workers that may get new work.
pub(crate) struct Room {
    pub places: Vec<Place>,
}

impl Place {
    /// Tasks of this need that fit at the moment.
    pub(crate) fn slots(&self, need: &Resources) -> usize {
        let ratio = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
        let cpu = ratio(self.free.cpu_milli, need.cpu_milli);
        let memory = ratio(self.free.memory_mib, need.memory_mib);
        let accelerators = ratio(self.free.accelerators, need.accelerators);
        cpu.min(memory).min(accelerators).min(1000) as usize
    }

    /// Whether the worker is of the right pool and has the label.
    pub(crate) fn suits(&self, queue: &Queue, step: &Step) -> bool {
        self.pool == queue.pool && (step.label.is_empty() || self.labels.contains(&step.label))
    }

    fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// Rounds of one job that are taken up in one pass.
const OPEN_ROUNDS: u32 = 16;
/// Units of one job that may be open before further rounds are taken up.
const OPEN_UNITS: usize = 256;

/// What places are compared by; the least is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    avoided: bool,
    far: bool,
    left_cpu: u32,
}

/// One task's place: its index in the unit, and the place's index in the room.
type Choice = (usize, usize);

impl Engine {
    /// Starts what can be started, asks what must be known, stops what is left of broken gangs.
    pub fn plan(&mut self, clock: Clock) {
        self.settle(clock);
        self.open_units(clock);
        self.stop_broken_gangs();
        let mut room = self.room(clock);
        for candidate in self.candidates(clock) {
            self.serve(clock, candidate.unit, &mut room);
        }
    }

    fn settle(&mut self, clock: Clock) {
        if self.settled {
            return self.drop_unseen(clock);
        }
        let waits = self.predecessor + self.limits.surely_lapsed();
        self.settled = clock.now.saturating_sub(self.reign) > waits;
    }

    /// Workers of earlier reigns that nobody lists any more, and whose leases have run out.
    fn drop_unseen(&mut self, clock: Clock) {
        let unseen = |worker: &Worker| worker.contact == Contact::Unknown && worker.missing.is_some();
        let ids: Vec<WorkerId> =
            self.workers.iter().filter(|(_, worker)| unseen(worker)).map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.gone(clock, id));
    }

    fn open_units(&mut self, clock: Clock) {
        let ids: Vec<_> = self.live.iter().copied().collect();
        for id in ids {
            let Some(entry) = self.jobs.get_mut(&id) else { continue };
            // Rounds that fell due while nobody led are taken up a few at a time.
            let unfinished = entry.units.values().filter(|unit| !unit.complete()).count();
            let most = entry.opened.saturating_add(OPEN_ROUNDS);
            while entry.opened < entry.job.rounds() && entry.job.due(entry.opened) <= clock.wall {
                if entry.opened >= most || unfinished >= OPEN_UNITS {
                    break;
                }
                entry.open(entry.opened);
            }
        }
    }

    pub(crate) fn room(&self, clock: Clock) -> Room {
        let usable = |worker: &&(&WorkerId, &Worker)| worker.1.usable(clock.now, self.durable);
        let all: Vec<_> = self.workers.iter().collect();
        let places = all.iter().filter(usable).map(|(id, worker)| Place {
            id: (*id).clone(),
            pool: worker.info.pool.clone(),
            labels: worker.info.labels.clone(),
            free: worker.free,
            avoided: worker.avoid_until > clock.now,
        });
        let places: Vec<Place> = places.collect();
        let good: Vec<Place> = places.iter().filter(|place| !place.avoided).cloned().collect();
        // If most are troubled, the trouble isn't theirs.
        match good.len() * 2 > places.len() {
            true => Room { places: good },
            false => Room { places },
        }
    }

    fn serve(&mut self, clock: Clock, unit: Unit, room: &mut Room) {
        let Some(entry) = self.jobs.get(&unit.job) else { return };
        let Some(step) = entry.step(unit.step).cloned() else { return };
        let Some(queue) = self.config.queue(&entry.queue).cloned() else { return };
        let Some(state) = entry.units.get(&(unit.round, unit.step)) else { return };
        if !self.resolved(state) {
            return;
        }
        if step.gang && state.pending != state.tasks.len() {
            return;
        }
        // A job that isn't kept yet is placed all the same: its starts are sent after its own record is written.
        let kept = entry.accepted.position <= self.durable;
        let choices = choose(clock.now, state, &step, &queue, room);
        if !(step.gang && choices.len() < state.tasks.len()) {
            self.start(clock, unit, &step, choices, room);
        }
        // Until then it asks once: the store may be away for long.
        if kept || self.unit(unit).is_some_and(|state| state.known.asked.is_empty()) {
            self.ask(clock, unit, &queue, room);
        }
    }

    fn ask(&mut self, clock: Clock, unit: Unit, queue: &Queue, room: &Room) {
        let Some(advice) = queue.advice else { return };
        let pending = self.unit(unit).map_or(0, |state| state.pending);
        if pending == 0 {
            return;
        }
        if let Some(question) = self.question(clock, unit, advice, pending, room) {
            self.pose(question);
        }
    }

    fn pose(&mut self, question: Question) {
        if let Some(state) = self.unit_mut(question.unit) {
            state.known.asking = true;
        }
        self.actions.push(Action::Ask(question));
    }

    fn start(&mut self, clock: Clock, unit: Unit, step: &Step, choices: Vec<Choice>, room: &mut Room) {
        let need = taken_room(step);
        let gang_attempt = self.unit(unit).map(|state| self.attempt(state.starts));
        if step.gang
            && let Some(state) = self.unit_mut(unit)
        {
            state.starts += 1;
        }
        for (index, place) in choices {
            room.places[place].free = room.places[place].free.saturating_sub(&need);
            let worker = room.places[place].id.clone();
            let task = Task { unit, index: index as u32 };
            let Some(order) = self.order(task, step, gang_attempt, &worker) else { continue };
            let run = Run { phase: worker::Phase::Starting, need, percent: 0, moved: clock.now };
            if let Some(held) = self.workers.get_mut(&worker) {
                held.take(task, order.attempt, run);
            }
            if let Some(state) = self.unit_mut(unit) {
                state.set(index, Phase::Held(worker.clone(), order.attempt));
            }
            let record = Record::Placed { task, attempt: order.attempt, worker: worker.clone() };
            let position = self.record(record);
            self.decided.push_back((position, worker, order));
        }
    }

    /// Whether no waiting task of a unit may still run where an earlier leader has placed it.
    pub(crate) fn resolved(&self, state: &UnitState) -> bool {
        self.unresolved(state).is_none()
    }

    /// A worker on which an earlier leader placed a task that waits now, and which hasn't answered yet.
    pub(crate) fn unresolved<'a>(&self, state: &'a UnitState) -> Option<&'a WorkerId> {
        if self.settled {
            return None;
        }
        // Of a worker that the log doesn't name nothing is known either, unless it is known to be gone.
        let open = |worker: &&WorkerId| match self.workers.get(*worker) {
            Some(known) => known.contact == Contact::Unknown,
            None => !self.departed.contains(*worker),
        };
        state.tasks.iter().filter_map(|task| task.inherited.as_ref()).find(open)
    }

    /// Sends the starts whose records are durable, unless they have become pointless meanwhile.
    pub(crate) fn send_decided(&mut self, clock: Clock) {
        while let Some((position, worker, start)) = self.decided.pop_front() {
            if position > self.durable {
                self.decided.push_front((position, worker, start));
                return;
            }
            if self.still_wanted(clock, &worker, &start) {
                self.actions.push(Action::Start(worker, start));
            } else {
                self.release(clock, &worker, start.task, start.attempt);
            }
        }
    }

    fn still_wanted(&self, clock: Clock, worker: &str, start: &Start) -> bool {
        let unit = start.task.unit;
        let run = self.workers.get(worker).and_then(|worker| worker.runs.get(&(start.task, start.attempt)));
        let starting = run.is_some_and(|run| run.phase == worker::Phase::Starting);
        let allowed =
            start.ticket.is_none() || self.unit(unit).is_some_and(|state| state.known.allows(worker, clock.now));
        starting && allowed && self.live.contains(&unit.job)
    }

    fn order(&mut self, task: Task, step: &Step, gang_attempt: Option<u64>, worker: &str) -> Option<Start> {
        let job = self.jobs.get(&task.unit.job)?.job.clone();
        let term_attempt = self.unit(task.unit)?.tasks.get(task.index as usize).map(|state| state.starts)?;
        let attempt = if step.gang { gang_attempt? } else { self.attempt(term_attempt) };
        let state = self.unit_mut(task.unit)?;
        let ticket = state.known.healthy.get(worker).map(|ticket| ticket.text.clone());
        let gang_saved = state.saved.clone();
        let own = state.tasks.get_mut(task.index as usize)?;
        own.starts += 1;
        let saved = if step.gang { gang_saved } else { own.saved.clone() };
        Some(Start { task, attempt, job, saved, ticket })
    }
}

/// Chooses places for the waiting tasks of a unit, as many as there are.
fn choose(now: Duration, state: &UnitState, step: &Step, queue: &Queue, room: &Room) -> Vec<Choice> {
    let need = taken_room(step);
    let pending: Vec<usize> = waiting(state).collect();
    let allowed: Vec<usize> = (0..room.places.len())
        .filter(|index| {
            let place = &room.places[*index];
            let told = queue.advice.is_none() || state.known.allows(&place.id, now);
            told && place.suits(queue, step) && place.slots(&need) > 0
        })
        .collect();
    if step.same_rack {
        let racks: std::collections::BTreeSet<&str> = allowed.iter().map(|index| room.places[*index].rack()).collect();
        for rack in racks {
            let inside: Vec<usize> =
                allowed.iter().copied().filter(|index| room.places[*index].rack() == rack).collect();
            let choices = fill(&pending, &inside, state, step, &need, room);
            if choices.len() == pending.len() {
                return choices;
            }
        }
    }
    fill(&pending, &allowed, state, step, &need, room)
}

fn waiting(state: &UnitState) -> impl Iterator<Item = usize> + '_ {
    state.tasks.iter().enumerate().filter(|(_, task)| task.phase == Phase::Pending).map(|(index, _)| index)
}

fn fill(
    pending: &[usize],
    allowed: &[usize],
    state: &UnitState,
    step: &Step,
    need: &Resources,
    room: &Room,
) -> Vec<Choice> {
    let mut free: BTreeMap<usize, Resources> = allowed.iter().map(|index| (*index, room.places[*index].free)).collect();
    let mut on_worker: BTreeMap<usize, u32> = BTreeMap::new();
    if step.spread > 0 {
        for index in allowed {
            on_worker.insert(*index, held_on(state, &room.places[*index].id));
        }
    }
    let mut choices = Vec::new();
    for task in pending {
        let crowded =
            |index: usize| step.spread > 0 && on_worker.get(&index).is_some_and(|count| *count >= step.spread);
        let fitting = free.iter().filter(|(index, left)| need.fits_in(left) && !crowded(**index));
        let best = fitting.min_by_key(|(index, left)| (cost(&room.places[**index], left, step, need), **index));
        let Some(place) = best.map(|(index, _)| *index) else { break };
        if let Some(left) = free.get_mut(&place) {
            *left = left.saturating_sub(need);
        }
        *on_worker.entry(place).or_default() += 1;
        choices.push((*task, place));
    }
    choices
}

fn held_on(state: &UnitState, worker: &str) -> u32 {
    let there = |task: &&crate::entry::TaskState| matches!(&task.phase, Phase::Held(id, _) if id == worker);
    state.tasks.iter().filter(there).count() as u32
}

/// Near its data first; then the fullest worker that has room, so that large tasks find whole ones.
fn cost(place: &Place, free: &Resources, step: &Step, need: &Resources) -> Cost {
    Cost {
        avoided: place.avoided,
        far: !step.rack.is_empty() && !place.labels.contains(&step.rack),
        left_cpu: free.saturating_sub(need).cpu_milli,
    }
}
