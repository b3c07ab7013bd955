//! Puts room together for a whole gang, of what is free and of what less urgent tasks give back that go on from a checkpoint.
//!
//! A gang needs all its places at once, on workers that the adviser allows. On a full cell where few workers may run it, that much room
//! comes together by itself only now and then, while patient tasks that save their progress have seconds to spare.

use std::collections::HashMap;
use std::time::Duration;

use model::Resources;
use work::{Attempt, Queue, Step, Task, Unit, WorkerId};

use crate::engine::{Clock, Engine};
use crate::entry::UnitState;
use crate::preempt::{Claim, Preemption, stoppable, weight};
use crate::room::{Place, Room};
use crate::worker::{Health, Phase, Worker};

/// On larger fleets the processor of the leader's host is what binds, and stops and the starts that they lead to cost more than they gain.
const MAX_WORKERS: usize = 600;
/// Room for a gang is put together anew after this time: about as often as room changes, like questions to the adviser.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// ... and after this time once there is room for all of it.
const REFRESH_INTERVAL: Duration = Duration::from_millis(150);
/// How long the claims of one look are kept: two looks, which a busy leader may take longer for.
const CLAIM_TTL: Duration = Duration::from_millis(400);
/// Stops take up to this long: a gang for which room is made must be able to wait for it, and its tickets must hold beyond it.
pub(crate) const MAX_STOP_TIME: Duration = Duration::from_millis(900);
/// A job whose tasks are stopped must have this much time to spare: the stop takes up to 0.9 s, a new place and the way back to the
/// checkpoint another second.
const MIN_VICTIM_SLACK: Duration = Duration::from_secs(2);

/// What one worker can give.
struct Offer<'a> {
    place: &'a Place,
    /// Room that is free, or will be without a further stop.
    free: Resources,
    /// Tasks that fit there.
    tasks: usize,
    /// Whether a ticket holds.
    ticket: bool,
    /// Runs that may be stopped, those that take least last.
    stoppable: Vec<((Task, Attempt), Resources)>,
    /// Those of them that are to be stopped.
    stops: Vec<(Task, Attempt)>,
}

/// Room that comes free or can be made on workers for gangs of one priority.
#[derive(Debug)]
pub(crate) struct Reclaimable {
    at: Duration,
    rooms: HashMap<WorkerId, Resources>,
}

/// Runs whose stop gives room for further tasks on one worker.
struct Gain {
    runs: usize,
    tasks: usize,
    /// What the runs take, for each task.
    cost: u64,
}

impl Offer<'_> {
    /// What the next stops there would give.
    fn next(&self, state: &UnitState, step: &Step) -> Option<Gain> {
        let mut free = self.free;
        let mut cost = 0;
        for (count, (_, freed)) in self.stoppable.iter().enumerate() {
            free = free.saturating_add(freed);
            cost += weight(freed);
            let tasks = self.place.tasks_in(&free, state, step).saturating_sub(self.tasks);
            if tasks > 0 {
                return Some(Gain { runs: count + 1, tasks, cost: cost / tasks as u64 });
            }
        }
        None
    }

    fn stop(&mut self, gain: &Gain) {
        for (run, freed) in self.stoppable.drain(..gain.runs) {
            self.free = self.free.saturating_add(&freed);
            self.stops.push(run);
        }
        self.tasks += gain.tasks;
    }
}

impl Engine {
    /// Whether the leader's host has the processor for more than starting what fits.
    pub(crate) fn has_spare_processor(&self) -> bool {
        self.workers.len() <= MAX_WORKERS
    }

    /// Whether room is put together for a unit: a gang that is in time after a stop. What would be stopped for late ones makes others late.
    pub(crate) fn assembles(&self, clock: Clock, unit: Unit, step: &Step) -> bool {
        step.gang && self.has_spare_processor() && self.can_wait(clock, unit, MAX_STOP_TIME)
    }

    /// Claims room for all of a gang that waits, and stops what must go for it. Nothing where that isn't enough.
    pub(crate) fn assemble(&mut self, clock: Clock, unit: Unit, step: &Step, queue: &Queue, room: &Room) {
        if !step.gang || step.long_running {
            return;
        }
        let due = |state: &UnitState| state.pending == state.tasks.len() && clock.now >= state.assemble_at;
        if !self.unit(unit).is_some_and(due) {
            return;
        }
        self.refresh_reclaimable(clock, queue.priority);
        let Some(state) = self.unit(unit) else { return };
        let offers = self.offers(clock, state, step, queue, room);
        let chosen = choose(self.with_stoppable(clock, offers, state, step, queue.priority), state, step);
        let again = if chosen.is_empty() { RETRY_INTERVAL } else { REFRESH_INTERVAL };
        let mut claims = Vec::new();
        let mut stops = Vec::new();
        let mut missing = state.pending;
        for offer in chosen {
            let tasks = offer.tasks.min(missing);
            missing -= tasks;
            claims.push(Claim { worker: offer.place.id.clone(), tasks, until: clock.now + CLAIM_TTL });
            stops.push((offer.place.id.clone(), offer.stops));
        }
        if let Some(state) = self.unit_mut(unit) {
            state.assemble_at = clock.now + again;
            state.claims = claims;
        }
        for (worker, runs) in stops.into_iter().filter(|(_, runs)| !runs.is_empty()) {
            self.preemptions.push(Preemption { unit, worker: worker.clone(), stopped: runs.len() });
            runs.into_iter().for_each(|(task, attempt)| self.stop_run(&worker, task, attempt));
        }
    }

    /// What workers can give that are known to be allowed.
    fn offers<'a>(
        &self,
        clock: Clock,
        state: &UnitState,
        step: &Step,
        queue: &Queue,
        room: &'a Room,
    ) -> Vec<Offer<'a>> {
        let start_arrival = self.start_arrival(clock);
        let allowed = |place: &&Place| queue.advice.is_none() || state.advice.healthy.contains_key(&place.id);
        let suits = |place: &&Place| place.health <= Health::Degraded && place.suits(queue, step);
        let places = room.places.iter().filter(allowed).filter(suits);
        let offer = |place: &'a Place| {
            let worker = self.workers.get(&place.id)?;
            let free = place.free_after(&ending(worker));
            let tasks = place.tasks_in(&free, state, step);
            let ticket = queue.advice.is_none() || state.advice.allows(&place.id, start_arrival);
            Some(Offer { place, free, tasks, ticket, stoppable: Vec::new(), stops: Vec::new() })
        };
        places.filter_map(offer).collect()
    }

    /// Finds what may be stopped, where what is free isn't enough and that could be.
    fn with_stoppable<'a>(
        &self,
        clock: Clock,
        mut offers: Vec<Offer<'a>>,
        state: &UnitState,
        step: &Step,
        priority: u32,
    ) -> Vec<Offer<'a>> {
        if offers.iter().map(|offer| offer.tasks).sum::<usize>() >= state.pending {
            return offers;
        }
        let most = |offer: &Offer| {
            let free = offer.place.free_after(&self.reclaimable_room(&offer.place.id, priority));
            offer.place.tasks_in(&free, state, step).max(offer.tasks)
        };
        if offers.iter().map(most).sum::<usize>() < state.pending {
            return offers;
        }
        for offer in &mut offers {
            if self.reclaimable_room(&offer.place.id, priority) == Resources::ZERO {
                continue;
            }
            let Some(worker) = self.workers.get(&offer.place.id) else { continue };
            offer.stoppable = self.reclaimable_runs(clock, worker, priority);
            offer.stoppable.sort_by_key(|(_, need)| std::cmp::Reverse(weight(need)));
        }
        offers
    }

    /// Runs on a worker that may be stopped for a more urgent queue, and whose jobs will still be on time.
    fn reclaimable_runs(&self, clock: Clock, worker: &Worker, priority: u32) -> Vec<((Task, Attempt), Resources)> {
        stoppable(worker, priority).filter(|((task, _), _)| self.can_wait(clock, task.unit, MIN_VICTIM_SLACK)).collect()
    }

    /// Brings up to date how much room each worker could give a gang of this priority, now and then.
    pub(crate) fn refresh_reclaimable(&mut self, clock: Clock, priority: u32) {
        let known = self.reclaimable.get(&priority);
        if known.is_some_and(|known| clock.now < known.at + RETRY_INTERVAL) {
            return;
        }
        let room = |(id, worker): (&WorkerId, &Worker)| {
            let runs = self.reclaimable_runs(clock, worker, priority);
            let sum = runs.iter().fold(ending(worker), |sum, (_, need)| sum.saturating_add(need));
            (sum != Resources::ZERO).then(|| (id.clone(), sum))
        };
        let rooms = self.workers.iter().filter_map(room).collect();
        self.reclaimable.insert(priority, Reclaimable { at: clock.now, rooms });
    }

    /// Room that a worker could give a gang of this priority besides what is free, as last looked for.
    pub(crate) fn reclaimable_room(&self, worker: &str, priority: u32) -> Resources {
        let known = self.reclaimable.get(&priority).and_then(|known| known.rooms.get(worker));
        known.copied().unwrap_or(Resources::ZERO)
    }
}

/// Room of runs that are being stopped.
fn ending(worker: &Worker) -> Resources {
    let stopping = worker.runs.values().filter(|run| matches!(run.phase, Phase::Stopping | Phase::Stopped(_)));
    stopping.fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.need))
}

/// The offers that give room for all waiting tasks: what is free first, there where tickets hold, then what costs least. None where
/// they aren't enough.
fn choose<'a>(mut offers: Vec<Offer<'a>>, state: &UnitState, step: &Step) -> Vec<Offer<'a>> {
    let mut found: usize = offers.iter().map(|offer| offer.tasks).sum();
    let mut gains: Vec<Option<Gain>> =
        if found < state.pending { offers.iter().map(|offer| offer.next(state, step)).collect() } else { Vec::new() };
    while found < state.pending {
        let cheapest = gains.iter().enumerate().filter_map(|(index, gain)| Some((gain.as_ref()?.cost, index))).min();
        let Some((_, index)) = cheapest else { return Vec::new() };
        let Some(gain) = gains[index].take() else { return Vec::new() };
        found += gain.tasks;
        offers[index].stop(&gain);
        gains[index] = offers[index].next(state, step);
    }
    // What is stopped is needed; of the rest, as much as is missing.
    offers.sort_by_key(|offer| (offer.stops.is_empty(), !offer.ticket, weight(&offer.free)));
    let mut missing = state.pending;
    offers.retain(|offer| {
        let needed = missing > 0 && offer.tasks > 0;
        missing = missing.saturating_sub(offer.tasks);
        needed
    });
    offers
}
