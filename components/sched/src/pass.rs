//! What a planning pass did: its parts, for measurements of their cost, and the number of units it examined.

use std::time::Duration;

use crate::engine::Engine;
use crate::pace::Budget;
use crate::worker::Worker;

/// A part of a planning pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Opening rounds and looking for broken gangs and lapsed workers.
    Upkeep,
    /// Selecting and sorting the units that have pending tasks.
    Selection,
    /// Counting the usage of workspaces.
    Quota,
    /// Updating the free room on the workers.
    Room,
    /// Applying reservations of room.
    Claims,
    /// Examining units: whether their tasks may start, and where.
    Units,
    /// Deciding starts.
    Starts,
    /// Choosing questions to the advice service.
    Questions,
    /// Preempting runs and assembling room for gangs.
    Preemption,
}

impl Part {
    /// All parts, in the order of a pass.
    pub const ALL: [Part; 9] = [
        Part::Upkeep,
        Part::Selection,
        Part::Quota,
        Part::Room,
        Part::Claims,
        Part::Units,
        Part::Starts,
        Part::Questions,
        Part::Preemption,
    ];
}

/// Numbers of units in one planning pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pass {
    /// Units with pending tasks whose dependencies are done.
    pub waiting: usize,
    /// Those of them that were examined.
    pub examined: usize,
    /// The longest time for which one of the others has been waiting to be examined.
    pub longest_wait: Duration,
    /// Whether the budget of starts kept a unit from starting.
    pub held_back: bool,
}

impl Pass {
    /// Number of waiting units that were left for a later pass.
    pub fn deferred(&self) -> usize {
        self.waiting - self.examined
    }
}

impl Engine {
    /// Sets a function that is called at the end of each part of a pass. The engine itself has no clock.
    pub fn set_probe(&mut self, probe: fn(Part)) {
        self.probe = probe;
    }

    /// Reports the end of a part.
    pub(crate) fn finish_part(&self, part: Part) {
        (self.probe)(part);
    }

    /// Number of starts that are decided and not answered yet.
    pub fn unanswered_starts(&self) -> usize {
        self.workers.values().map(Worker::starting).sum()
    }

    /// Sets what the next passes may do.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Numbers of units in the last pass.
    pub fn last_pass(&self) -> Pass {
        self.last_pass
    }
}
