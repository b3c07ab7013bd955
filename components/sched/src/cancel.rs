//! Cancels: nothing of the job starts any more, and what runs is stopped.

use work::{JobId, Outcome, Unit};

use crate::engine::{Clock, Engine};

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

    /// Stops all runs of a unit.
    pub(crate) fn stop_unit(&mut self, name: Unit) {
        let Some(unit) = self.unit(name) else { return };
        let placements: Vec<_> = unit.placements(name).collect();
        self.stop_runs(placements);
    }

    /// Stops all runs of a job.
    pub(crate) fn stop_all(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let mut placements = Vec::new();
        for ((round, step), unit) in &entry.units {
            placements.extend(unit.placements(Unit { job: id, round: *round, step: *step }));
        }
        self.stop_runs(placements);
    }
}
