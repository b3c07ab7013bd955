//! Choice of workers for the pending tasks of a unit, by the free room of one scheduling pass.

use std::collections::BTreeSet;
use std::time::Duration;

use model::Resources;
use work::{Queue, Step};

use crate::entry::{Phase, UnitState};
use crate::reports::taken_room;
use crate::room::{Choice, Place, Room};
use crate::worker::Health;

/// Sort key of places; the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    health: Health,
    far: bool,
    left_accelerators: u32,
    left_cpu: u32,
}

impl Room {
    /// Chooses workers for the pending tasks of a unit: for as many tasks as possible, or for all tasks of a gang or
    /// none. A start that is decided now is expected to arrive at `start_arrival`.
    pub(crate) fn choose(
        &self,
        now: Duration,
        start_arrival: Duration,
        state: &UnitState,
        step: &Step,
        queue: &Queue,
    ) -> Vec<Choice> {
        let need = taken_room(step);
        if !self.may_fit(&need) {
            return Vec::new();
        }
        let allowed = self.allowed(start_arrival, state, step, queue);
        let tasks = |places: &[usize]| places.iter().map(|index| self.places[*index].tasks(state, step)).sum::<usize>();
        if step.gang && tasks(&allowed) < state.pending {
            return Vec::new();
        }
        let pending: Vec<usize> = waiting(state).collect();
        let choices = match state.isolated_until {
            Some(_) => self.fill_isolated(now, &pending, allowed, state, step, &need),
            None if step.same_rack => self
                .fill_rack(&pending, &allowed, state, step, &need)
                .unwrap_or_else(|| self.fill(&pending, allowed, state, step, &need)),
            None => self.fill(&pending, allowed, state, step, &need),
        };
        if step.gang && choices.len() < pending.len() {
            return Vec::new();
        }
        choices
    }

    /// Chooses workers for a unit with suspects. Suspects go to workers with the fewest new runs and the fewest runs,
    /// and other tasks to other workers if possible.
    fn fill_isolated(
        &self,
        now: Duration,
        pending: &[usize],
        allowed: Vec<usize>,
        state: &UnitState,
        step: &Step,
        need: &Resources,
    ) -> Vec<Choice> {
        let (suspects, others): (Vec<usize>, Vec<usize>) =
            pending.iter().partition(|index| state.tasks[**index].is_suspect());
        let quiet = |index: &usize| self.places[*index].new_runs == 0 || !state.requires_isolation(now);
        let mut isolated: Vec<usize> = allowed.iter().copied().filter(quiet).collect();
        isolated.sort_by_key(|index| (self.places[*index].new_runs, self.places[*index].runs, *index));
        let mut choices = self.fill_in_order(&suspects, isolated, state, step);
        let (tried, elsewhere): (Vec<usize>, Vec<usize>) =
            allowed.into_iter().partition(|index| choices.iter().any(|(_, place)| place == index));
        choices.extend(self.fill(&others, elsewhere, state, step, need));
        // Otherwise a gang that needs all workers would never run.
        let left: Vec<usize> =
            others.into_iter().filter(|task| choices.iter().all(|(other, _)| other != task)).collect();
        let mut left = left.into_iter();
        for index in tried {
            let taken = choices.iter().filter(|(_, place)| *place == index).count();
            let most = self.places[index].tasks(state, step).saturating_sub(taken);
            choices.extend(left.by_ref().take(most).map(|task| (task, index)));
        }
        choices
    }

    /// Workers on which a task of the unit may start now.
    fn allowed(&self, now: Duration, state: &UnitState, step: &Step, queue: &Queue) -> Vec<usize> {
        let fits = |index: &usize| {
            let place = &self.places[*index];
            place.is_suitable(queue, step) && place.tasks(state, step) > 0
        };
        match queue.advice {
            None => (0..self.places.len()).filter(fits).collect(),
            Some(_) => state.advice.tickets(now).filter_map(|number| self.position(number)).filter(fits).collect(),
        }
    }

    /// Places all tasks in one rack, if any rack has room for them.
    fn fill_rack(
        &self,
        pending: &[usize],
        allowed: &[usize],
        state: &UnitState,
        step: &Step,
        need: &Resources,
    ) -> Option<Vec<Choice>> {
        let racks: BTreeSet<&str> = allowed.iter().map(|index| self.places[*index].rack()).collect();
        racks.into_iter().find_map(|rack| {
            let inside = allowed.iter().copied().filter(|index| self.places[*index].rack() == rack).collect();
            let choices = self.fill(pending, inside, state, step, need);
            (choices.len() == pending.len()).then_some(choices)
        })
    }

    /// Fills the cheapest worker first, then the next: all tasks of a unit have the same need.
    fn fill(
        &self,
        pending: &[usize],
        mut allowed: Vec<usize>,
        state: &UnitState,
        step: &Step,
        need: &Resources,
    ) -> Vec<Choice> {
        allowed.sort_by_key(|index| (cost(&self.places[*index], step, need), *index));
        self.fill_in_order(pending, allowed, state, step)
    }

    /// Fills the first worker, then the next.
    fn fill_in_order(&self, pending: &[usize], places: Vec<usize>, state: &UnitState, step: &Step) -> Vec<Choice> {
        let mut tasks = pending.iter().copied();
        let mut choices = Vec::new();
        for index in places {
            let most = self.places[index].tasks(state, step);
            choices.extend(tasks.by_ref().take(most).map(|task| (task, index)));
            if choices.len() == pending.len() {
                break;
            }
        }
        choices
    }
}

fn waiting(state: &UnitState) -> impl Iterator<Item = usize> + '_ {
    state.tasks.iter().enumerate().filter(|(_, task)| task.phase == Phase::Pending).map(|(index, _)| index)
}

/// Prefers workers close to the step's data, then the fullest one that has room, so that large tasks find empty
/// workers. Accelerators count before cores because they are scarcer.
fn cost(place: &Place, step: &Step, need: &Resources) -> Cost {
    let left = place.free.saturating_sub(need);
    Cost {
        health: place.health,
        far: !step.rack.is_empty() && !place.info.labels.contains(&step.rack),
        left_accelerators: left.accelerators,
        left_cpu: left.cpu_milli,
    }
}
