//! Starts that their workers carry out late.

use std::time::Duration;

use sched::Start;
use work::{Term, WorkerId};

use super::World;

/// A start that arrives after its sender has given up waiting for the answer.
pub(super) struct DelayedStart {
    pub sent: Duration,
    pub at: Duration,
    pub worker: WorkerId,
    pub term: Term,
    pub until: Duration,
    pub start: Start,
}

impl World {
    pub(super) fn deliver_delayed_starts(&mut self) {
        let (due, later) = std::mem::take(&mut self.delayed_starts).into_iter().partition(|late| late.at <= self.now);
        self.delayed_starts = later;
        let due: Vec<DelayedStart> = due;
        for late in due {
            // An incarnation that has ended takes its unanswered orders with it.
            if self.workers.contains_key(&late.worker) {
                self.deliver_start(late.sent, &late.worker, late.term, late.until, &late.start);
            }
        }
    }
}
