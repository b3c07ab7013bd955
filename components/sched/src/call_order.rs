//! The order in which a new leader calls its workers.
//!
//! There may be thousands, and each call takes processor time: what callers wait for goes first.

use work::{Task, WorkerId};

use crate::engine::Engine;
use crate::entry::Phase;
use crate::worker::Worker;

/// Why a worker is called when it is; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallPriority {
    /// Tasks of a queue of this priority, which an earlier leader placed there, wait for what became of them.
    Awaited(u32),
    /// Waiting tasks may go there.
    Open,
    /// It takes nothing new.
    Closed,
}

impl Engine {
    /// Workers that aren't held yet, id and address, in the order in which they are to be called.
    pub fn workers_to_contact(&self, held: impl Fn(&WorkerId) -> bool) -> Vec<(WorkerId, String)> {
        let mut found: Vec<(CallPriority, &WorkerId, &Worker)> = self
            .workers
            .iter()
            .filter(|(id, worker)| !worker.info.address.is_empty() && !held(id))
            .map(|(id, worker)| (self.call_priority(worker), id, worker))
            .collect();
        // Stable: within a turn the order is that of the names.
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

    /// The priority of a task's queue, if the task waits.
    fn waiting_priority(&self, task: Task) -> Option<u32> {
        let state = self.unit(task.unit)?.tasks.get(task.index as usize)?;
        let queue = self.queues.get(&self.jobs.get(&task.unit.job)?.queue);
        (state.phase == Phase::Pending).then(|| queue.map_or(u32::MAX, |queue| queue.priority))
    }
}
