//! Assembles room for a whole gang from free room and from less urgent runs that can be preempted because they resume
//! from a checkpoint.
//!
//! A gang needs room for all its tasks at once, on workers that the advice service allows. On a fully loaded cell
//! where few workers may run it, that much room rarely becomes free by itself, while less urgent tasks with
//! checkpoints have seconds to spare.

use std::collections::HashMap;
use std::time::Duration;

use model::Resources;
use work::{Attempt, Queue, Step, Task, Unit, WorkerId};

use crate::engine::{Clock, Engine};
use crate::entry::UnitState;
use crate::preempt::{Claim, Preemption, preemptible, preemption_cost};
use crate::room::{Place, Room};
use crate::worker::{Health, Phase, Worker};

/// On larger fleets the CPU of the leader's host is the bottleneck, and preemptions and the starts that they cause
/// cost more than they gain.
const SPARE_CPU_MAX_WORKERS: usize = 600;
/// Interval between two attempts to assemble room for a gang: about as often as room changes, like questions to the
/// advice service.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The same once there is room for all of it.
const REFRESH_INTERVAL: Duration = Duration::from_millis(150);
/// How long reservations for a gang last: two attempts, with some reserve for a busy leader.
const CLAIM_TTL: Duration = Duration::from_millis(400);
/// The longest time that a stop takes. A gang must be able to wait that long, and its tickets must be valid beyond
/// it.
pub(crate) const MAX_STOP_TIME: Duration = Duration::from_millis(900);
/// The time that a preempted job must have to spare. The stop takes up to 0.9 s, and being placed again and returning
/// to the checkpoint takes another second.
const MIN_VICTIM_SLACK: Duration = Duration::from_secs(2);

/// What one worker can contribute.
struct Offer<'a> {
    place: &'a Place,
    /// Room that is free, or becomes free without a further stop.
    free: Resources,
    /// Number of tasks that fit into it.
    tasks: usize,
    /// Whether its ticket is valid.
    ticket: bool,
    /// Runs that may be preempted, the most expensive first.
    preemptible: Vec<((Task, Attempt), Resources)>,
    /// Runs that are to be preempted.
    stops: Vec<(Task, Attempt)>,
}

/// Room on workers that is becoming free, or that preemption can free, for gangs of one priority.
#[derive(Debug)]
pub(crate) struct Reclaimable {
    at: Duration,
    rooms: HashMap<WorkerId, Resources>,
}

/// Runs on one worker whose preemption makes room for further tasks.
struct Gain {
    runs: usize,
    tasks: usize,
    /// Their cost per task gained.
    cost: u64,
}

impl Offer<'_> {
    /// What preempting the next runs there would gain.
    fn next(&self, state: &UnitState, step: &Step) -> Option<Gain> {
        let mut free = self.free;
        let mut cost = 0;
        for (count, (_, freed)) in self.preemptible.iter().enumerate() {
            free = free.saturating_add(freed);
            cost += preemption_cost(freed);
            let tasks = self.place.tasks_in(&free, state, step).saturating_sub(self.tasks);
            if tasks > 0 {
                return Some(Gain { runs: count + 1, tasks, cost: cost / tasks as u64 });
            }
        }
        None
    }

    fn stop(&mut self, gain: &Gain) {
        for (run, freed) in self.preemptible.drain(..gain.runs) {
            self.free = self.free.saturating_add(&freed);
            self.stops.push(run);
        }
        self.tasks += gain.tasks;
    }
}

impl Engine {
    /// Whether the leader's host has CPU time for more than starting what fits.
    pub(crate) fn has_spare_processor(&self) -> bool {
        self.workers.len() <= SPARE_CPU_MAX_WORKERS
    }

    /// Whether room is assembled for a unit: a gang within its workspace's share that still meets its objective after a
    /// stop. Preempting runs for late gangs would only make other jobs late.
    pub(crate) fn should_assemble(&self, clock: Clock, unit: Unit, step: &Step) -> bool {
        let wanted = step.gang && !self.is_excess(unit.job);
        wanted && self.has_spare_processor() && self.can_wait(clock, unit, MAX_STOP_TIME)
    }

    /// Reserves room for all tasks of a waiting gang and preempts runs for it. Does nothing if that doesn't give
    /// enough room.
    pub(crate) fn assemble(&mut self, clock: Clock, unit: Unit, step: &Step, queue: &Queue, room: &Room) {
        if !step.gang || step.long_running {
            return;
        }
        let due = |state: &UnitState| state.pending == state.count && clock.now >= state.assemble_at;
        if !self.unit(unit).is_some_and(due) {
            return;
        }
        self.refresh_reclaimable(clock, queue.priority);
        let Some(state) = self.unit(unit) else { return };
        let offers = self.offers(clock, state, step, queue, room);
        let chosen = choose(self.with_preemptible(clock, offers, state, step, queue.priority), state, step);
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

    /// Offers of the workers that the advice service allows.
    fn offers<'a>(
        &self,
        clock: Clock,
        state: &UnitState,
        step: &Step,
        queue: &Queue,
        room: &'a Room,
    ) -> Vec<Offer<'a>> {
        let start_arrival = self.start_arrival(clock);
        let suitable = |place: &&Place| place.health <= Health::Degraded && place.is_suitable(queue, step);
        let places: Vec<&Place> = match queue.advice {
            None => room.places.iter().filter(suitable).collect(),
            Some(_) => {
                state.advice.healthy.keys().filter_map(|number| room.numbered(*number)).filter(suitable).collect()
            }
        };
        let offer = |place: &'a Place| {
            let worker = self.workers.get(&place.id)?;
            let free = place.free_after(&ending(worker));
            let tasks = place.tasks_in(&free, state, step);
            let ticket = queue.advice.is_none() || state.advice.allows(place.number, start_arrival);
            Some(Offer { place, free, tasks, ticket, preemptible: Vec::new(), stops: Vec::new() })
        };
        places.into_iter().filter_map(offer).collect()
    }

    /// Adds the runs that may be preempted to the offers, if free room alone isn't enough and preemption could be.
    fn with_preemptible<'a>(
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
            offer.preemptible = self.reclaimable_runs(clock, worker, priority);
            offer.preemptible.sort_by_key(|(_, need)| std::cmp::Reverse(preemption_cost(need)));
        }
        offers
    }

    /// Runs on a worker that may be preempted for a more urgent queue and whose jobs will still meet their
    /// objectives.
    fn reclaimable_runs(&self, clock: Clock, worker: &Worker, priority: u32) -> Vec<((Task, Attempt), Resources)> {
        preemptible(worker, priority)
            .filter(|((task, _), _)| self.can_wait(clock, task.unit, MIN_VICTIM_SLACK))
            .collect()
    }

    /// Updates how much room each worker could free for a gang of this priority, if the last update is older than
    /// [`RETRY_INTERVAL`].
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

    /// Room that a worker could free for a gang of this priority, as of the last update.
    pub(crate) fn reclaimable_room(&self, worker: &str, priority: u32) -> Resources {
        let known = self.reclaimable.get(&priority).and_then(|known| known.rooms.get(worker));
        known.copied().unwrap_or(Resources::ZERO)
    }
}

/// Room of the runs that are being stopped.
fn ending(worker: &Worker) -> Resources {
    let stopping = worker.runs.values().filter(|run| matches!(run.phase, Phase::Stopping | Phase::Stopped(_)));
    stopping.fold(Resources::ZERO, |sum, run| sum.saturating_add(&run.need))
}

/// Chooses offers with room for all waiting tasks: free room first, preferably with valid tickets, then the cheapest
/// preemptions. Returns none if they don't suffice.
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
    // All offers with preemptions are needed; of the others, only as many as it takes.
    offers.sort_by_key(|offer| (offer.stops.is_empty(), !offer.ticket, preemption_cost(&offer.free)));
    let mut missing = state.pending;
    offers.retain(|offer| {
        let needed = missing > 0 && offer.tasks > 0;
        missing = missing.saturating_sub(offer.tasks);
        needed
    });
    offers
}
