//! Chooses which waiting units a planning pass examines.
//!
//! With few waiting units each pass examines all of them. With many, it examines in their order those that changed
//! or that may use room that has become free, those whose interval is over, and those that have waited longest, a bounded
//! number of each, so that each of them is examined from time to time: tickets expire and gangs become late without an
//! event. A pass that examined all would take more of the leader's CPU time than everything else it does. Behind a unit
//! that the budget of starts keeps from starting, only equally urgent ones that haven't asked yet are examined.

use std::collections::BTreeSet;
use std::time::Duration;

use work::Unit;

use crate::engine::{Clock, Engine};
use crate::rank::Candidate;
use crate::ranking::{Obstacle, Ranking, Waiting};
use crate::room::{Place, Room};
use crate::worker_set::WorkerSet;

/// Number of waiting units up to which every pass examines all of them.
pub(crate) const DEFERRAL_THRESHOLD: usize = 16;
/// When more units wait, one that found no place is examined again after this interval, unless it learns of new
/// workers or room becomes free for it.
pub(crate) const EXAMINE_INTERVAL: Duration = Duration::from_millis(75);
/// The same for the [`HEAD`] most urgent units, for one that waits for workers to answer or end or for a worker
/// without new runs, and for one with reserved room: these may start without a change of free room.
pub(crate) const SHORT_EXAMINE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of the most urgent units that are examined at the short interval: preemption and room for gangs are decided
/// when a unit is examined, and urgent jobs have a quarter of a second to spare. With 32, a simulated cell with some 50
/// waiting units and crashing tasks gave up more jobs because of others.
const HEAD: usize = 64;
/// Units that weren't examined for this long don't compete with more urgent ones, so that each is examined within
/// 100 ms as long as passes examine enough units for that; see [`crate::pace::Budget::units`].
const OVERDUE_AFTER: Duration = Duration::from_millis(80);

/// Maximum number of units for which a pass looks up whether they may use room that became free. When a wide job ends,
/// thousands of units may fit into its room; a look-up takes about 1 us.
const MAX_LOOKUPS: usize = 1000;

/// Room that became free since the last pass, and what is left of [`MAX_LOOKUPS`].
struct Growth {
    workers: WorkerSet,
    lookups: usize,
}

impl Growth {
    /// Counts a look-up, and returns whether it may be done.
    fn may_look_up(&mut self) -> bool {
        let left = self.lookups > 0;
        self.lookups -= usize::from(left);
        left
    }
}

/// Which of the units that haven't been examined for long are examined in a pass.
struct Overdue {
    /// Those that were examined before this time are.
    before: Duration,
    /// Number of those that were examined at this time that are: passes examine many units at the same time.
    at: usize,
}

impl Overdue {
    /// Chooses the units that have waited longest.
    fn new(now: Duration, ranking: &Ranking, most: usize) -> Overdue {
        let overdue = |waiting: &&Waiting| now.saturating_sub(waiting.examined_at) >= OVERDUE_AFTER;
        let mut times: Vec<Duration> = ranking.waiting().filter(overdue).map(|waiting| waiting.examined_at).collect();
        let Some(last) = times.len().min(most).checked_sub(1) else {
            return Overdue { before: Duration::ZERO, at: 0 };
        };
        let (earlier, before, _) = times.select_nth_unstable(last);
        let earlier = earlier.iter().filter(|time| **time < *before).count();
        Overdue { before: *before, at: last + 1 - earlier }
    }

    fn take(&mut self, waiting: &Waiting) -> bool {
        if waiting.examined_at == self.before && self.at > 0 {
            self.at -= 1;
            return true;
        }
        waiting.examined_at < self.before
    }
}

impl Engine {
    /// Examines the waiting units, or some of them if there are many.
    pub(crate) fn examine_waiting(&mut self, clock: Clock, room: &mut Room) {
        let mut ranking = std::mem::take(&mut self.ranking);
        let mut claiming = std::mem::take(&mut ranking.claiming);
        if ranking.len() <= DEFERRAL_THRESHOLD {
            for (candidate, waiting) in ranking.iter_mut() {
                if self.is_behind(&candidate) {
                    self.reserve_quota(waiting);
                    continue;
                }
                self.examine(clock, &candidate, waiting, &mut claiming, room);
            }
        } else {
            self.examine_some(clock, &mut ranking, &mut claiming, room);
        }
        ranking.claiming = claiming;
        self.ranking = ranking;
    }

    fn examine_some(&mut self, clock: Clock, ranking: &mut Ranking, claiming: &mut BTreeSet<Unit>, room: &mut Room) {
        let mut growth = Growth { workers: room.grown(), lookups: MAX_LOOKUPS };
        let most = self.budget.units;
        let mut overdue = Overdue::new(clock.now, ranking, most);
        let (mut ready, mut due) = (most, most);
        for (index, (candidate, waiting)) in ranking.iter_mut().enumerate() {
            let short = index < HEAD && clock.now >= waiting.examined_at + SHORT_EXAMINE_INTERVAL;
            if self.is_behind(&candidate) {
                self.leave(clock, waiting);
                continue;
            }
            if ready > 0 && self.is_ready(clock, candidate.unit, waiting, &mut growth, room) {
                ready -= 1;
            } else if due > 0 && (short || clock.now >= waiting.retry_at) {
                due -= 1;
            } else if !overdue.take(waiting) {
                self.leave(clock, waiting);
                continue;
            }
            self.examine(clock, &candidate, waiting, claiming, room);
        }
    }

    /// Whether a unit isn't examined because an earlier one is held back. An equally urgent one may ask its first questions,
    /// so that it has tickets when its turn comes.
    fn is_behind(&self, candidate: &Candidate) -> bool {
        let Some(first) = self.held_back else { return false };
        let is_new = || self.unit(candidate.unit).is_some_and(|state| state.advice.is_new());
        candidate.urgency() > first || !is_new()
    }

    /// Leaves a unit for a later pass.
    fn leave(&mut self, clock: Clock, waiting: &Waiting) {
        let waited = clock.now.saturating_sub(waiting.examined_at);
        self.last_pass.longest_wait = self.last_pass.longest_wait.max(waited);
        self.reserve_quota(waiting);
    }

    fn examine(
        &mut self,
        clock: Clock,
        candidate: &Candidate,
        waiting: &mut Waiting,
        claiming: &mut BTreeSet<Unit>,
        room: &mut Room,
    ) {
        self.last_pass.examined += 1;
        let id = candidate.unit.job;
        let was_changed = self.jobs.is_changed(&id);
        self.schedule_unit(clock, candidate, room);
        let Some(state) = self.unit_mut_unmarked(candidate.unit) else { return };
        state.examined_at = Some(clock.now);
        let has_started = state.pending != waiting.pending;
        waiting.update(state);
        // Nothing else that the order depends on has changed, and what else has is noted in `waiting`.
        if !was_changed && !has_started {
            self.jobs.unmark(&id);
        }
        match waiting.has_claims {
            true => claiming.insert(candidate.unit),
            false => claiming.remove(&candidate.unit),
        };
    }

    /// Whether a unit changed since it was last examined, or may start now.
    fn is_ready(&self, clock: Clock, unit: Unit, waiting: &Waiting, growth: &mut Growth, room: &Room) -> bool {
        let short = waiting.examined_at + SHORT_EXAMINE_INTERVAL;
        let may_use_claims = waiting.has_claims && (!growth.workers.is_empty() || clock.now >= short);
        if waiting.retry_at == Duration::ZERO || may_use_claims {
            return true;
        }
        match waiting.obstacle {
            Obstacle::Quota => self.quota.startable_tasks(waiting.workspace, &waiting.need) >= waiting.fewest(),
            _ if growth.workers.is_empty() || !room.may_fit(&waiting.taken) => false,
            Obstacle::Headroom => self.has_headroom(clock, unit, waiting, growth, room),
            Obstacle::Room => self.may_use(clock, unit, waiting, growth, room),
        }
    }

    /// Whether a unit that had no headroom has some now.
    fn has_headroom(&self, clock: Clock, unit: Unit, waiting: &Waiting, growth: &mut Growth, room: &Room) -> bool {
        let is_short = room.most_headroom() < u64::from(waiting.taken.cpu_milli) && self.has_spare_processor();
        if is_short || !growth.may_look_up() {
            return false;
        }
        let Some(entry) = self.jobs.get(&unit.job) else { return false };
        let (Some(step), Some(queue)) = (entry.step(unit.step), self.queues.get(&entry.queue)) else { return false };
        self.headroom_limit(clock, unit, step, queue, room) > 0
    }

    /// Whether a unit may start now that room became free on some workers. Names aren't looked up unless it fits there.
    fn may_use(&self, clock: Clock, unit: Unit, waiting: &Waiting, growth: &mut Growth, room: &Room) -> bool {
        let start_arrival = self.start_arrival(clock);
        if waiting.allowed.is_some() && waiting.tickets_until <= start_arrival {
            return false;
        }
        let slots = |place: &Place| place.slots(&waiting.taken);
        if !waiting.any_of(&growth.workers, room, |place| slots(place) > 0) {
            return false;
        }
        if waiting.gang && waiting.sum(room, slots) < waiting.pending || !growth.may_look_up() {
            return false;
        }
        let Some(entry) = self.jobs.get(&unit.job) else { return false };
        let (Some(step), Some(queue)) = (entry.step(unit.step), self.queues.get(&entry.queue)) else { return false };
        let Some(state) = entry.units.get(&(unit.round, unit.step)) else { return false };
        let tasks = |place: &Place| {
            let may_run = place.is_suitable(queue, step)
                && (waiting.allowed.is_none() || state.advice.allows(place.number, start_arrival));
            if may_run { place.tasks(state, step) } else { 0 }
        };
        match waiting.gang {
            true => waiting.sum(room, tasks) >= waiting.pending,
            false => waiting.any_of(&growth.workers, room, |place| tasks(place) > 0),
        }
    }

    /// Reserves what a gang needs of its workspace's limit although it isn't examined: what it waits for, or what it
    /// will use once the room reserved for it is free.
    fn reserve_quota(&mut self, waiting: &Waiting) {
        let tasks = match waiting.obstacle {
            Obstacle::Quota => waiting.count,
            Obstacle::Room | Obstacle::Headroom if waiting.has_claims => waiting.pending,
            Obstacle::Room | Obstacle::Headroom => 0,
        };
        if waiting.gang && tasks > 0 {
            self.quota.add_usage(waiting.workspace, &waiting.need, tasks);
        }
    }
}

impl Waiting {
    /// The fewest tasks that may start: all pending ones of a gang.
    fn fewest(&self) -> usize {
        if self.gang { self.pending } else { 1 }
    }

    /// Sum over all workers that may run the unit.
    fn sum(&self, room: &Room, tasks: impl Fn(&Place) -> usize) -> usize {
        match &self.allowed {
            Some(allowed) => allowed.workers.iter().filter_map(|number| room.numbered(number)).map(tasks).sum(),
            None => room.places.iter().map(tasks).sum(),
        }
    }

    /// Whether one of these workers that may run the unit is `wanted`.
    fn any_of(&self, workers: &WorkerSet, room: &Room, wanted: impl Fn(&Place) -> bool) -> bool {
        let wanted = |number| room.numbered(number).is_some_and(&wanted);
        match &self.allowed {
            Some(allowed) => allowed.workers.both(workers).any(wanted),
            None => workers.iter().any(wanted),
        }
    }
}
