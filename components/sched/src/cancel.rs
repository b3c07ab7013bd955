//! Cancelling jobs: nothing of the job is started any more, and its runs are stopped.

use work::{JobId, Outcome, Unit};

use crate::engine::{Clock, Engine};

impl Engine {
    /// Cancels a job; `None` if it is unknown. The cancellation is in effect once the returned position is durable.
    pub fn cancel(&mut self, clock: Clock, id: JobId) -> Option<u64> {
        let entry = self.jobs.get(&id)?;
        if let Some(ended) = entry.outcome {
            return Some(ended.position);
        }
        let position = self.end(clock, id, Outcome::Cancelled);
        self.stop_all(id);
        Some(position)
    }

    pub(crate) fn stop_unit(&mut self, name: Unit) {
        let Some(unit) = self.unit(name) else { return };
        let placements: Vec<_> = unit.placements(name).collect();
        self.stop_runs(placements);
    }

    pub(crate) fn stop_all(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let mut placements = Vec::new();
        for ((round, step), unit) in &entry.units {
            placements.extend(unit.placements(Unit { job: id, round: *round, step: *step }));
        }
        self.stop_runs(placements);
    }
}
