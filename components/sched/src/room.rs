//! Free room on workers during one scheduling pass.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use work::{Queue, Step, WorkerId};

use crate::entry::{Phase, TaskState, UnitState};
use crate::preempt::Claim;
use crate::reports::taken_room;
use crate::worker::{ExtraDelays, Health, Worker, WorkerInfo};
use crate::worker_set::WorkerSet;

/// Upper bound on the tasks that are counted for one worker: more than fit on any.
const MAX_SLOTS: u32 = 1000;

/// A worker that may get new work, with the room that is left in this pass.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub id: WorkerId,
    /// The worker's number; see [`Room::number`].
    pub number: usize,
    /// Free room that the last pass knew of; any more has become free since.
    known: Resources,
    /// Free room when the pass began.
    at_start: Resources,
    pub info: Arc<WorkerInfo>,
    /// Room that any unit may use.
    pub free: Resources,
    /// The same, including reserved room.
    open: Resources,
    /// Room that is reserved for units, whether it is free already or becomes free later.
    claimed: Resources,
    /// Room that units with open questions to the advice service are expected to use, by priority of their queues; see
    /// [`crate::advice_order`].
    expected: Vec<(u32, Resources)>,
    pub health: Health,
    /// Number of runs that it hasn't listed yet after their startup window.
    pub new_runs: u32,
    /// Number of all its runs.
    pub runs: usize,
}

/// All workers that may get new work.
#[derive(Debug, Default)]
pub(crate) struct Room {
    pub places: Vec<Place>,
    /// Index of each worker in `places`.
    index: HashMap<WorkerId, usize>,
    /// Numbers of all workers that were ever usable or asked about in this term.
    numbers: HashMap<WorkerId, usize>,
    /// Index in `places` by number.
    by_number: Vec<Option<usize>>,
    /// An upper bound on the room of any place, in each dimension.
    largest: Resources,
    /// The least capacity of any worker, in each dimension.
    least_capacity: Resources,
    /// Cores of each pool; see [`Room::count_cores`].
    cores: Vec<(String, Cores)>,
}

/// Cores of a pool, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cores {
    pub free: u64,
    pub all: u64,
}

/// A placement of one task: the task's index in the unit and the worker's index in [`Room::places`].
pub(crate) type Choice = (usize, usize);

/// What a worker has to offer. That is nothing while it is on probation with a run, or while a suspect task is tried
/// there.
fn offer(worker: &Worker, now: Duration, extra_delays: ExtraDelays) -> Option<(Resources, Health)> {
    let health = worker.health(now, extra_delays);
    let tried = health == Health::Probation && !worker.runs.is_empty();
    (!tried && worker.suspects == 0).then_some((worker.free, health))
}

impl Place {
    fn new(id: &WorkerId, worker: &Worker, now: Duration, extra_delays: ExtraDelays) -> Option<Place> {
        let (free, health) = offer(worker, now, extra_delays)?;
        let info = worker.info.clone();
        let (new_runs, runs) = (worker.new_runs, worker.runs.len());
        Some(Place {
            id: id.clone(),
            number: 0,
            known: Resources::ZERO,
            at_start: Resources::ZERO,
            info,
            free,
            open: free,
            claimed: Resources::ZERO,
            expected: Vec::new(),
            health,
            new_runs,
            runs,
        })
    }

    /// Sets the room of the place and drops all reservations.
    fn set_open(&mut self, open: Resources) {
        self.open = open;
        self.claimed = Resources::ZERO;
        self.expected.clear();
        self.free = open;
    }

    /// Room that isn't reserved, once the runs that use `ending` have ended.
    pub(crate) fn free_after(&self, ending: &Resources) -> Resources {
        self.open.saturating_add(ending).saturating_sub(&self.claimed)
    }

    /// Room that isn't reserved, once the runs that use `ending` have ended, and that no open question of an equally or
    /// more urgent queue is expected to use.
    pub(crate) fn uncontended(&self, ending: &Resources, priority: u32) -> Resources {
        let expected = self.expected.iter().filter(|(other, _)| *other <= priority);
        expected.fold(self.free_after(ending), |free, (_, expected)| free.saturating_sub(expected))
    }

    /// The room that is expected to be used for a priority.
    fn expected_mut(&mut self, priority: u32) -> &mut Resources {
        let known = self.expected.iter().position(|(other, _)| *other == priority);
        let index = known.unwrap_or_else(|| {
            self.expected.push((priority, Resources::ZERO));
            self.expected.len() - 1
        });
        &mut self.expected[index].1
    }

    /// Number of tasks of this need that fit into the free room.
    pub(crate) fn slots(&self, need: &Resources) -> usize {
        self.slots_in(&self.free, need)
    }

    /// Number of tasks of this need that fit into `free`.
    fn slots_in(&self, free: &Resources, need: &Resources) -> usize {
        let ratio = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
        let cpu = ratio(free.cpu_milli, need.cpu_milli);
        let memory = ratio(free.memory_mib, need.memory_mib);
        let accelerators = ratio(free.accelerators, need.accelerators);
        let most = if self.health == Health::Probation { 1 } else { MAX_SLOTS };
        cpu.min(memory).min(accelerators).min(most) as usize
    }

    /// Number of tasks of a unit that could start here now, by room and by the step's limit of tasks per worker.
    /// Without that limit the advice service would be asked forever about workers that are at the limit, and about no
    /// others.
    pub(crate) fn tasks(&self, state: &UnitState, step: &Step) -> usize {
        self.tasks_in(&self.free, state, step)
    }

    /// Like [`Self::tasks`], but for a worker whose free room is `free`.
    pub(crate) fn tasks_in(&self, free: &Resources, state: &UnitState, step: &Step) -> usize {
        // One failing member breaks a whole gang.
        if step.gang && self.health == Health::Probation {
            return 0;
        }
        let slots = self.slots_in(free, &taken_room(step));
        match step.max_per_worker {
            _ if slots == 0 => 0,
            0 => slots,
            most => slots.min(most.saturating_sub(held_on(state, &self.id)) as usize),
        }
    }

    /// Whether the worker is in the queue's pool and has the step's label.
    pub(crate) fn is_suitable(&self, queue: &Queue, step: &Step) -> bool {
        self.info.pool == queue.pool && (step.label.is_empty() || self.info.labels.contains(&step.label))
    }

    /// The worker's rack: its last label.
    pub(crate) fn rack(&self) -> &str {
        self.info.labels.last().map_or("", String::as_str)
    }
}

impl Room {
    /// The room on `workers`, which are usable and sorted by name.
    pub(crate) fn new<'a>(
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
        now: Duration,
        extra_delays: ExtraDelays,
    ) -> Room {
        let mut room = Room::default();
        room.rebuild(workers, now, extra_delays);
        room
    }

    /// Builds the room anew. Workers keep their numbers, and all room counts as having become free.
    pub(crate) fn rebuild<'a>(
        &mut self,
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
        now: Duration,
        extra_delays: ExtraDelays,
    ) {
        self.places = workers.filter_map(|(id, worker)| Place::new(id, worker, now, extra_delays)).collect();
        self.index = self.places.iter().enumerate().map(|(index, place)| (place.id.clone(), index)).collect();
        self.number_places();
        self.finish();
    }

    /// Updates the room. Returns false if the set of usable workers has changed, which requires a new `Room`.
    pub(crate) fn refresh<'a>(
        &mut self,
        workers: impl Iterator<Item = (&'a WorkerId, &'a Worker)>,
        now: Duration,
        extra_delays: ExtraDelays,
    ) -> bool {
        let mut places = self.places.iter_mut();
        for (id, worker) in workers {
            let Some((free, health)) = offer(worker, now, extra_delays) else { continue };
            let Some(place) = places.next().filter(|place| place.id == *id) else { return false };
            place.set_open(free);
            place.health = health;
            place.new_runs = worker.new_runs;
            place.runs = worker.runs.len();
            if !Arc::ptr_eq(&place.info, &worker.info) {
                place.info = worker.info.clone();
            }
        }
        if places.next().is_some() {
            return false;
        }
        self.finish();
        true
    }

    /// Gives each worker without a number the next one.
    fn number_places(&mut self) {
        self.by_number.fill(None);
        for (index, place) in self.places.iter_mut().enumerate() {
            place.number = number_of(&mut self.numbers, &place.id);
            if place.number >= self.by_number.len() {
                self.by_number.resize(place.number + 1, None);
            }
            self.by_number[place.number] = Some(index);
        }
    }

    /// The number of a worker, which gets the next one if it has none.
    pub(crate) fn assign_number(&mut self, worker: &WorkerId) -> usize {
        number_of(&mut self.numbers, worker)
    }

    /// The number of a worker, for [`WorkerSet`].
    pub(crate) fn number(&self, worker: &str) -> Option<usize> {
        self.numbers.get(worker).copied()
    }

    /// The place of a worker by its number, if it may get new work.
    pub(crate) fn numbered(&self, number: usize) -> Option<&Place> {
        self.position(number).map(|index| &self.places[index])
    }

    /// The position of a worker by its number, if it may get new work.
    pub(crate) fn position(&self, number: usize) -> Option<usize> {
        self.by_number.get(number).copied().flatten()
    }

    /// Workers on which room has become free since the last pass.
    pub(crate) fn grown(&self) -> WorkerSet {
        let mut grown = WorkerSet::default();
        let places = self.places.iter().filter(|place| !place.free.fits_in(&place.known));
        places.for_each(|place| grown.insert(place.number));
        grown
    }

    /// Notes the free room after a pass has decided. Reservations that the pass has dropped count as free room only
    /// in the next pass, since units that were examined before couldn't use them.
    pub(crate) fn end_pass(&mut self) {
        for place in &mut self.places {
            place.known = place.at_start.min(&place.free);
        }
    }

    /// Notes the free room before a pass decides.
    pub(crate) fn begin_pass(&mut self) {
        self.places.iter_mut().for_each(|place| place.at_start = place.free);
    }

    /// Excludes avoided workers, unless most are avoided: then the cause isn't the workers.
    fn finish(&mut self) {
        let avoided = self.places.iter().filter(|place| place.health == Health::Avoided).count();
        if avoided * 2 < self.places.len() {
            let troubled = self.places.iter_mut().filter(|place| place.health == Health::Avoided);
            troubled.for_each(|place| place.set_open(Resources::ZERO));
        }
        let capacities = self.places.iter().map(|place| place.info.capacity);
        self.least_capacity = capacities.reduce(|least, capacity| least.min(&capacity)).unwrap_or_default();
        self.update_largest();
    }

    /// Whether a task of this need takes at most `share` of every worker.
    pub(crate) fn is_small(&self, need: &Resources, share: f64) -> bool {
        need.dominant_share(&self.least_capacity) <= share
    }

    /// Updates the upper bound on the room of any place.
    fn update_largest(&mut self) {
        let most = |of: fn(&Resources) -> u32| self.places.iter().map(|place| of(&place.free)).max().unwrap_or(0);
        self.largest = Resources {
            cpu_milli: most(|free| free.cpu_milli),
            memory_mib: most(|free| free.memory_mib),
            accelerators: most(|free| free.accelerators),
        };
    }

    /// Whether one task of this need could fit anywhere. A cheap check that may return true although the task fits
    /// nowhere.
    pub(crate) fn may_fit(&self, need: &Resources) -> bool {
        need.fits_in(&self.largest)
    }

    /// Counts the cores of each pool, once per pass; cores that are taken later in the pass are subtracted.
    pub(crate) fn count_cores(&mut self) {
        self.cores.clear();
        for place in &self.places {
            let pool = &place.info.pool;
            let index = self.cores.iter().position(|(name, _)| name == pool).unwrap_or_else(|| {
                self.cores.push((pool.clone(), Cores::default()));
                self.cores.len() - 1
            });
            let cores = &mut self.cores[index].1;
            cores.free += u64::from(place.free.cpu_milli);
            cores.all += u64::from(place.info.capacity.cpu_milli);
        }
    }

    pub(crate) fn cores(&self, pool: &str) -> Cores {
        self.cores.iter().find(|(name, _)| name == pool).map_or(Cores::default(), |(_, cores)| *cores)
    }

    /// The most free cores beyond the headroom of any pool, in thousandths.
    pub(crate) fn most_headroom(&self) -> u64 {
        self.cores.iter().map(|(_, cores)| cores.beyond_headroom()).max().unwrap_or(0)
    }

    /// Takes the room of one task at each chosen place.
    pub(crate) fn take(&mut self, choices: &[Choice], need: &Resources) {
        for (_, place) in choices {
            let place = &mut self.places[*place];
            place.new_runs += 1;
            place.runs += 1;
            if let Some((_, cores)) = self.cores.iter_mut().find(|(name, _)| *name == place.info.pool) {
                cores.free = cores.free.saturating_sub(u64::from(need.cpu_milli));
            }
            place.open = match place.health {
                Health::Probation => Resources::ZERO,
                Health::Good | Health::Degraded | Health::Avoided => place.open.saturating_sub(need),
            };
            place.free = place.free_after(&Resources::ZERO);
        }
        self.update_largest();
    }

    /// Prevents further starts on a worker in this pass.
    pub(crate) fn close(&mut self, place: usize) {
        self.places[place].set_open(Resources::ZERO);
        self.update_largest();
    }

    /// Records that units of a priority are expected to use this room, by position of the worker.
    pub(crate) fn expect(&mut self, priority: u32, used: &[(usize, Resources)]) {
        for (index, used) in used {
            let expected = self.places[*index].expected_mut(priority);
            *expected = expected.saturating_add(used);
        }
    }

    /// Reverts [`Room::expect`].
    pub(crate) fn unexpect(&mut self, priority: u32, used: &[(usize, Resources)]) {
        for (index, used) in used {
            let expected = self.places[*index].expected_mut(priority);
            *expected = expected.saturating_sub(used);
        }
    }

    /// Reserves room for tasks of this need.
    pub(crate) fn claim(&mut self, claims: &[Claim], need: &Resources) {
        self.change_claims(claims, |claimed, tasks| claimed.saturating_add(&need.saturating_mul(tasks)));
    }

    /// Reverts [`Room::claim`].
    pub(crate) fn unclaim(&mut self, claims: &[Claim], need: &Resources) {
        self.change_claims(claims, |claimed, tasks| claimed.saturating_sub(&need.saturating_mul(tasks)));
    }

    fn change_claims(&mut self, claims: &[Claim], change: impl Fn(&Resources, usize) -> Resources) {
        for claim in claims {
            let Some(place) = self.index.get(&claim.worker).map(|index| &mut self.places[*index]) else { continue };
            place.claimed = change(&place.claimed, claim.tasks);
            place.free = place.free_after(&Resources::ZERO);
            self.largest = self.largest.max(&place.free);
        }
    }
}

/// The number of a worker, which gets the next one if it has none.
fn number_of(numbers: &mut HashMap<WorkerId, usize>, worker: &WorkerId) -> usize {
    let next = numbers.len();
    match numbers.get(worker) {
        Some(number) => *number,
        None => *numbers.entry(worker.clone()).or_insert(next),
    }
}

fn held_on(state: &UnitState, worker: &str) -> u32 {
    let there = |task: &&TaskState| matches!(&task.phase, Phase::Held(id, _) if id == worker);
    state.tasks.iter().filter(there).count() as u32
}
