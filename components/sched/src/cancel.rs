//! Cancels: nothing of the job starts any more, and what runs is stopped.

use work::{JobId, Outcome, Task, Unit};

use crate::engine::{Clock, Engine};
use crate::entry::Phase;

impl Engine {
    /// Cancels a job. Returns the position whose durability makes it count; `None` for an unknown job.
    pub fn cancel(&mut self, clock: Clock, id: JobId) -> Option<u64> {
        let entry = self.jobs.get(&id)?;
        if let Some(ended) = entry.outcome {
            return Some(ended.position);
        }
        let position = self.end(clock, id, Outcome::Cancelled);
        self.stop_all(id);
        Some(position)
    }

    /// Stops all runs of a job.
    pub(crate) fn stop_all(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let names: Vec<(u32, u16)> = entry.units.keys().copied().collect();
        names.into_iter().for_each(|(round, step)| self.stop_unit(Unit { job: id, round, step }));
    }

    /// Stops all runs of a unit.
    pub(crate) fn stop_unit(&mut self, name: Unit) {
        let Some(unit) = self.unit(name) else { return };
        let mut held = Vec::new();
        for (index, task) in unit.tasks.iter().enumerate() {
            if let Phase::Held(worker, attempt) = &task.phase {
                held.push((worker.clone(), Task { unit: name, index: index as u32 }, *attempt));
            }
        }
        held.into_iter().for_each(|(worker, task, attempt)| self.stop_run(&worker, task, attempt));
    }
}
