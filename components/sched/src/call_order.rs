//! The order in which a new leader contacts its workers.
//!
//! There may be thousands of them, and each call takes CPU time, so those on which waiting tasks depend go first.

use work::{Task, WorkerId};

use crate::engine::Engine;
use crate::entry::Phase;
use crate::worker::Worker;

/// Priority of the call to a worker; the lowest value goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallPriority {
    /// Pending tasks of a queue of this priority depend on its answer, since an earlier leader placed them there.
    Awaited(u32),
    /// It may get new work.
    Open,
    /// It gets no new work.
    Closed,
}

impl Engine {
    /// Ids and addresses of the workers for which `held` is false, in the order in which they are to be called.
    pub fn workers_to_contact(&self, held: impl Fn(&WorkerId) -> bool) -> Vec<(WorkerId, String)> {
        let mut found: Vec<(CallPriority, &WorkerId, &Worker)> = self
            .workers
            .iter()
            .filter(|(id, worker)| !worker.info.address.is_empty() && !held(id))
            .map(|(id, worker)| (self.call_priority(worker), id, worker))
            .collect();
        // The sort is stable: workers of the same call priority stay ordered by name.
        found.sort_by_key(|(call_priority, _, _)| *call_priority);
        found.into_iter().map(|(_, id, worker)| (id.clone(), worker.info.address.clone())).collect()
    }

    fn call_priority(&self, worker: &Worker) -> CallPriority {
        let waiting = worker.possibly_lost.iter().filter_map(|lost| self.waiting_priority(lost.task));
        match waiting.min() {
            Some(priority) => CallPriority::Awaited(priority),
            None if worker.info.is_open() => CallPriority::Open,
            None => CallPriority::Closed,
        }
    }

    /// The priority of a task's queue, if the task is pending.
    fn waiting_priority(&self, task: Task) -> Option<u32> {
        let state = self.unit(task.unit)?.tasks.get(task.index as usize)?;
        let queue = self.queues.get(&self.jobs.get(&task.unit.job)?.queue);
        (state.phase == Phase::Pending).then(|| queue.map_or(u32::MAX, |queue| queue.priority))
    }
}
