//! Frees room for a large urgent task that fits nowhere by preempting less urgent runs that resume from a checkpoint.
//!
//! A task that needs all accelerators of a worker, and may run on a few workers only, could wait for long, because a
//! small task nearly always uses one of the accelerators. No runs are preempted for small tasks: that gains little
//! and delays less urgent jobs.

use std::time::Duration;

use model::Resources;
use work::{Attempt, Queue, Step, Task, Unit, WorkerId};

use crate::engine::{Clock, Engine};
use crate::reports::taken_room;
use crate::room::{Place, Room};
use crate::worker::{Health, Phase, Run, Worker};

/// How long freed room is reserved. A stop takes up to 0.4 s, and the end of the run is reported at once.
const CLAIM_TTL: Duration = Duration::from_millis(1500);
/// Number of cores that one accelerator counts as in the cost of a preemption, as users price it.
const CORES_PER_ACCELERATOR: u64 = 8;

/// A task that needs more than this share of a worker in any dimension counts as large. Room for smaller ones becomes
/// free without preemption.
const LARGE_SHARE: f64 = 0.5;

/// A reservation of room on a worker for tasks of a unit.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub worker: WorkerId,
    /// Number of tasks that the room is for.
    pub tasks: usize,
    /// When the reservation expires.
    pub until: Duration,
}

/// A decision to preempt runs for a unit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Preemption {
    /// The unit that needs the room.
    pub unit: Unit,
    /// The worker.
    pub worker: WorkerId,
    /// Number of runs that are stopped there.
    pub stopped: usize,
}

/// Runs on one worker whose preemption frees enough room.
struct Victims {
    worker: WorkerId,
    runs: Vec<(Task, Attempt)>,
    /// Their total cost, in thousandths of a core.
    weight: u64,
}

impl Engine {
    /// Preempts runs for one waiting task of a unit, unless room is already reserved for all of them or the job is
    /// beyond its workspace's share.
    pub(crate) fn preempt_for(&mut self, clock: Clock, unit: Unit, step: &Step, queue: &Queue, room: &Room) {
        if step.gang || step.long_running || self.is_excess(unit.job) {
            return;
        }
        let Some(state) = self.unit(unit) else { return };
        if state.claims.len() >= state.pending {
            return;
        }
        let need = taken_room(step);
        // The cheapest check comes first: most tasks are small on every worker.
        if room.is_small(&need, LARGE_SHARE) {
            return;
        }
        let places = room.places.iter().filter(|place| need.dominant_share(&place.info.capacity) > LARGE_SHARE);
        let places = places.filter(|place| place.health == Health::Good && place.tasks(state, step) == 0);
        let start_arrival = self.start_arrival(clock);
        let with_ticket = |place: &Place| queue.advice.is_none() || state.advice.allows(place.number, start_arrival);
        let places = places.filter(|place| place.is_suitable(queue, step) && with_ticket(place));
        let places = places.filter(|place| state.claims.iter().all(|claim| claim.worker != place.id));
        let found = places.filter_map(|place| self.victims(&place.id, &need, queue.priority));
        let Some(victims) = found.min_by_key(|victims| victims.weight) else { return };
        let stopped = victims.runs.len();
        self.preemptions.push(Preemption { unit, worker: victims.worker.clone(), stopped });
        for (task, attempt) in victims.runs {
            self.stop_run(&victims.worker, task, attempt);
        }
        let claim = Claim { worker: victims.worker, tasks: 1, until: clock.now + CLAIM_TTL };
        if let Some(state) = self.unit_mut(unit) {
            state.claims.push(claim);
        }
    }

    /// Takes the preemptions since the last call.
    pub fn take_preemptions(&mut self) -> Vec<Preemption> {
        std::mem::take(&mut self.preemptions)
    }

    /// The runs to preempt on a worker for a task of this need; `None` if that doesn't free enough room.
    fn victims(&self, worker: &str, need: &Resources, priority: u32) -> Option<Victims> {
        let (id, worker) = self.workers.get_key_value(worker)?;
        let mut runs: Vec<_> = preemptible(worker, priority).collect();
        runs.sort_by_key(|(_, need)| std::cmp::Reverse(preemption_cost(need)));
        let mut victims = Victims { worker: id.clone(), runs: Vec::new(), weight: 0 };
        let mut free = worker.free;
        for (run, freed) in runs {
            if need.fits_in(&free) {
                break;
            }
            free = free.checked_add(&freed)?;
            victims.runs.push(run);
            victims.weight += preemption_cost(&freed);
        }
        (need.fits_in(&free) && !victims.runs.is_empty()).then_some(victims)
    }

    /// Priority of a unit's queue, if its runs lose little when they are preempted.
    pub(crate) fn preemption_priority(&self, unit: Unit, step: &Step) -> Option<u32> {
        let saves = step.checkpoints && !step.long_running && !step.gang;
        let entry = self.jobs.get(&unit.job).filter(|_| saves)?;
        self.queues.get(&entry.queue).map(|queue| queue.priority)
    }
}

/// Runs on a worker that may be preempted for a queue of this priority.
pub(crate) fn preemptible(worker: &Worker, priority: u32) -> impl Iterator<Item = ((Task, Attempt), Resources)> + '_ {
    let runs = worker.runs.iter();
    let preemptible = move |(_, run): &(&(Task, Attempt), &Run)| {
        matches!(run.phase, Phase::Running(_)) && run.preemptible.is_some_and(|own| own > priority)
    };
    runs.filter(preemptible).map(|(key, run)| (*key, run.need))
}

/// Cost of preempting a run of this need, in thousandths of a core.
pub(crate) fn preemption_cost(need: &Resources) -> u64 {
    u64::from(need.cpu_milli) + u64::from(need.accelerators) * CORES_PER_ACCELERATOR * 1000
}
