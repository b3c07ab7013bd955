//! Workers that list few ends at once, and the check that no task is started again whose end is merely not listed yet.

use sched::RunOutcome;
use work::{Task, WorkerId};

use super::World;

impl World {
    /// The same, with workers that list at most this many ends at once.
    pub fn with_short_lists(mut self, max_listed_ends: usize) -> World {
        self.max_listed_ends = Some(max_listed_ends);
        (0..4).for_each(|place| self.boot(place));
        self
    }

    /// Notes a start of a task that has ended as done, where that end isn't acknowledged yet.
    pub(super) fn note_repeated(&mut self, task: Task) {
        for (id, worker) in &self.workers {
            let excused = self.excused.get(id).copied().unwrap_or(0);
            let done = worker.ended.iter().filter(|end| end.task == task && end.outcome == RunOutcome::Done);
            let counted = done.filter(|end| end.number > excused);
            self.repeated.extend(counted.map(|end| (id.clone(), end.number, task)));
        }
    }

    /// Excuses the ends whose tasks may be started again: those on workers whose leases have expired since.
    pub(super) fn excuse_expired_ends(&mut self) {
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.lease_until < self.now) {
            self.excused.insert(id.clone(), worker.last_end_number);
        }
        let excused = &self.excused;
        self.repeated.retain(|(id, number, _)| excused.get(id).is_none_or(|excused| number > excused));
    }
}

/// Checks that no acknowledged end is that of a task which was started again in the meantime.
pub(super) fn check_acknowledgement(repeated: &[(WorkerId, u64, Task)], worker: &str, acked: u64) {
    let known = repeated.iter().find(|(id, number, _)| id == worker && *number <= acked);
    assert!(known.is_none(), "started again after an end that is acknowledged: {known:?}");
}
