//! Headroom: room that less urgent units leave free for more urgent ones.
//!
//! Less urgent work comes in wide steps and would fill all free room. An urgent task that arrives then waits until a
//! run ends, while it has half a second to spare and the less urgent step has ten.

use std::time::Duration;

use work::{Queue, Step, Unit};

use crate::engine::{Clock, Engine};
use crate::reports::taken_room;
use crate::room::{Cores, Room};

/// Share of all cores that a unit with time to spare leaves free if more urgent queues use the same workers. On a
/// fully loaded cell both kinds of work gain from it.
const HEADROOM: f64 = 0.08;
/// A unit that must start within this time leaves no headroom.
const MIN_SLACK: Duration = Duration::from_secs(2);

impl Engine {
    /// Number of tasks of a unit that may start now without using the headroom of more urgent queues.
    pub(crate) fn headroom_limit(&self, clock: Clock, unit: Unit, step: &Step, queue: &Queue, room: &Room) -> usize {
        let most_urgent = self.most_urgent.get(&queue.pool).is_none_or(|priority| *priority >= queue.priority);
        if step.gang || most_urgent || !self.has_spare_processor() || !self.can_wait(clock, unit, MIN_SLACK) {
            return usize::MAX;
        }
        let left = room.cores(&queue.pool).beyond_headroom();
        (left / u64::from(taken_room(step).cpu_milli.max(1))) as usize
    }
}

impl Cores {
    /// Free cores beyond the headroom, in thousandths.
    pub(crate) fn beyond_headroom(&self) -> u64 {
        self.free.saturating_sub((HEADROOM * self.all as f64) as u64)
    }
}
