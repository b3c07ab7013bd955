//! Makes room for a large urgent task that fits nowhere, by stopping less urgent ones that go on from a checkpoint.
//!
//! A task that needs all accelerators of a worker, and may run on a few workers only, would wait for long: one of its accelerators always
//! has a small task. For small tasks no room is made: that gains little and makes patient jobs late.

use std::time::Duration;

use model::Resources;
use work::{Attempt, Queue, Step, Task, Unit, WorkerId};

use crate::engine::{Clock, Engine};
use crate::reports::taken_room;
use crate::room::{Place, Room};
use crate::worker::{Health, Phase, Run, Worker};

/// Room that was made is kept this long: a stop takes up to 0.4 s, and its end is reported at once.
const CLAIM_TTL: Duration = Duration::from_millis(1500);
/// An accelerator counts as so many cores in what a stop costs: the users' price.
const CORES_PER_ACCELERATOR: u64 = 8;

/// A task that takes more than this share of a worker in any dimension is large: room for smaller ones comes by itself.
const LARGE_SHARE: f64 = 0.5;

/// Room on a worker that is being made for tasks of a unit.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub worker: WorkerId,
    /// For so many tasks.
    pub tasks: usize,
    /// Until when it is kept.
    pub until: Duration,
}

/// What was decided for a unit that needs room, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Preemption {
    /// The unit.
    pub unit: Unit,
    /// The worker.
    pub worker: WorkerId,
    /// Runs that are stopped there.
    pub stopped: usize,
}

/// Runs on one worker whose stop makes room.
struct Victims {
    worker: WorkerId,
    runs: Vec<(Task, Attempt)>,
    /// What they take, in thousandths of a core.
    weight: u64,
}

impl Engine {
    /// Makes room for one waiting task of a unit, unless room is being made for all of them.
    pub(crate) fn make_room(&mut self, clock: Clock, unit: Unit, step: &Step, queue: &Queue, room: &Room) {
        if step.gang || step.long_running {
            return;
        }
        let Some(state) = self.unit(unit) else { return };
        if state.claims.len() >= state.pending {
            return;
        }
        let need = taken_room(step);
        // What costs least is asked first: most tasks are small everywhere.
        let places = room.places.iter().filter(|place| need.dominant_share(&place.info.capacity) > LARGE_SHARE);
        let places = places.filter(|place| place.health == Health::Good && place.tasks(state, step) == 0);
        let start_arrival = self.start_arrival(clock);
        let with_ticket = |place: &Place| queue.advice.is_none() || state.advice.allows(&place.id, start_arrival);
        let places = places.filter(|place| place.suits(queue, step) && with_ticket(place));
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

    /// Takes note of the room that was made since the last call.
    pub fn take_preemptions(&mut self) -> Vec<Preemption> {
        std::mem::take(&mut self.preemptions)
    }

    /// The runs on a worker that are to be stopped for a task of this need; `None` where that isn't enough.
    fn victims(&self, worker: &str, need: &Resources, priority: u32) -> Option<Victims> {
        let (id, worker) = self.workers.get_key_value(worker)?;
        let mut runs: Vec<_> = stoppable(worker, priority).collect();
        runs.sort_by_key(|(_, need)| std::cmp::Reverse(weight(need)));
        let mut victims = Victims { worker: id.clone(), runs: Vec::new(), weight: 0 };
        let mut free = worker.free;
        for (run, freed) in runs {
            if need.fits_in(&free) {
                break;
            }
            free = free.checked_add(&freed)?;
            victims.runs.push(run);
            victims.weight += weight(&freed);
        }
        (need.fits_in(&free) && !victims.runs.is_empty()).then_some(victims)
    }

    /// Priority of a unit's queue, if its runs lose little when they are stopped.
    pub(crate) fn stoppable_for(&self, unit: Unit, step: &Step) -> Option<u32> {
        let saves = step.checkpoints && !step.long_running && !step.gang;
        let entry = self.jobs.get(&unit.job).filter(|_| saves)?;
        self.queues.get(&entry.queue).map(|queue| queue.priority)
    }
}

/// Runs on a worker that may be stopped for a queue of this priority.
pub(crate) fn stoppable(worker: &Worker, priority: u32) -> impl Iterator<Item = ((Task, Attempt), Resources)> + '_ {
    let runs = worker.runs.iter();
    let stoppable = move |(_, run): &(&(Task, Attempt), &Run)| {
        matches!(run.phase, Phase::Running(_)) && run.stoppable.is_some_and(|own| own > priority)
    };
    runs.filter(stoppable).map(|(key, run)| (*key, run.need))
}

/// What a run of this need costs, in thousandths of a core.
pub(crate) fn weight(need: &Resources) -> u64 {
    u64::from(need.cpu_milli) + u64::from(need.accelerators) * CORES_PER_ACCELERATOR * 1000
}
