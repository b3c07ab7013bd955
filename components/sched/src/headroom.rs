//! Room that patient units leave for more urgent ones.
//!
//! Patient work comes in wide steps and would fill whatever is free; a check that comes then waits for the next end, and has half a
//! second to spare where a patient step has ten.

use std::time::Duration;

use work::{Queue, Step, Unit};

use crate::engine::{Clock, Engine};
use crate::reports::taken_room;
use crate::room::Room;

/// Share of all cores that a unit with time to spare leaves free, where more urgent queues use the same workers: on a full cell both kinds
/// come off better.
const HEADROOM: f64 = 0.08;
/// A unit that must start within this time leaves nothing free.
const MIN_SLACK: Duration = Duration::from_secs(2);

impl Engine {
    /// How many tasks of a unit may start now without taking what is left for more urgent queues.
    pub(crate) fn headroom_limit(&self, clock: Clock, unit: Unit, step: &Step, queue: &Queue, room: &Room) -> usize {
        let most_urgent = self.most_urgent.get(&queue.pool).is_none_or(|priority| *priority >= queue.priority);
        if step.gang || most_urgent || !self.has_spare_processor() || !self.can_wait(clock, unit, MIN_SLACK) {
            return usize::MAX;
        }
        let cores = room.cores(&queue.pool);
        let left = cores.free.saturating_sub((HEADROOM * cores.all as f64) as u64);
        (left / u64::from(taken_room(step).cpu_milli.max(1))) as usize
    }
}
