//! Detects jobs that have no runs although there is room, and reports what they wait for.
//!
//! A job that waits for something that will never happen leaves no other trace, and `job why` can explain it only
//! while the leader that waits still leads.

use std::time::Duration;

use work::{JobId, Unit};

use crate::engine::{Clock, Engine};
use crate::entry::Entry;
use crate::reports::taken_room;

/// How long a job may have no runs, for example between two steps or while a question is answered, before it is
/// reported.
const STALL_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of jobs that are explained at once: explaining one takes a look at all workers.
const MAX_EXPLAINED: usize = 8;

/// Maximum number of runs that are named in a report: a step may have hundreds.
const MAX_NAMED: usize = 5;

/// A job that has no runs although there is room.
#[derive(Clone, Debug, PartialEq)]
pub struct Stall {
    /// The first of its units that isn't done and whose dependencies are.
    pub unit: Unit,
    /// For how long the job has had no runs.
    pub lasted: Duration,
    /// Number of tasks of the unit that wait for a worker.
    pub waiting: usize,
    /// Number of runs of the unit that were ordered and that no worker lists.
    pub unlisted: usize,
    /// The first few of them, as `TASK on WORKER`.
    pub run_names: Vec<String>,
    /// Why tasks wait; empty if none does.
    pub why: String,
}

impl Engine {
    /// Jobs that have had no runs for [`STALL_AFTER`] although one of their tasks could find room. Each is reported
    /// once until it runs again. Runs that their workers don't list don't count as runs.
    pub fn stalls(&mut self, clock: Clock) -> Vec<Stall> {
        let idle: Vec<JobId> = self.live.iter().copied().filter(|id| self.is_job_idle(*id)).collect();
        self.idle_since.retain(|id, _| idle.binary_search(id).is_ok());
        let mut due = Vec::new();
        for id in idle {
            let idle = self.idle_since.entry(id).or_insert(Idle { since: clock.now, reported: false });
            let lasted = clock.now.saturating_sub(idle.since);
            if lasted >= STALL_AFTER && !idle.reported && due.len() < MAX_EXPLAINED {
                due.push((id, lasted));
            }
        }
        due.into_iter().filter_map(|(id, lasted)| self.report_stall(clock, id, lasted)).collect()
    }

    /// Whether a job could continue and no worker lists a run of it.
    fn is_job_idle(&self, id: JobId) -> bool {
        let Some(entry) = self.jobs.get(&id).filter(|entry| entry.accepted.position <= self.durable) else {
            return false;
        };
        let listed = entry.units.iter().any(|((round, step), unit)| {
            let name = Unit { job: id, round: *round, step: *step };
            unit.placements(name).any(|placed| {
                let worker = self.workers.get(&placed.worker);
                worker.and_then(|worker| worker.runs.get(&(placed.task, placed.attempt))).is_some_and(|run| run.listed)
            })
        });
        !listed && first_open(id, entry).is_some()
    }

    fn report_stall(&mut self, clock: Clock, id: JobId, lasted: Duration) -> Option<Stall> {
        let entry = self.jobs.get(&id)?;
        let unit = first_open(id, entry)?;
        let state = entry.units.get(&(unit.round, unit.step))?;
        let need = taken_room(entry.step(unit.step)?);
        let unlisted = state.placements(unit).count();
        if unlisted == 0 && !self.room.may_fit(&need) {
            return None;
        }
        let names = state.placements(unit).take(MAX_NAMED).map(|run| format!("{} on {}", run.task, run.worker));
        let why = if state.pending == 0 { String::new() } else { self.wait_reason(clock, entry, unit, state) };
        let stall = Stall { unit, lasted, waiting: state.pending, unlisted, run_names: names.collect(), why };
        if let Some(idle) = self.idle_since.get_mut(&id) {
            idle.reported = true;
        }
        Some(stall)
    }

    /// Number of jobs that were reported and still have no runs.
    pub fn stalled_count(&self) -> usize {
        self.idle_since.values().filter(|idle| idle.reported).count()
    }
}

/// Since when a job has had no runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Idle {
    since: Duration,
    reported: bool,
}

/// The first unit of a job that isn't done and whose dependencies are.
fn first_open(id: JobId, entry: &Entry) -> Option<Unit> {
    let open = entry.units.iter().find(|((round, step), unit)| !unit.is_complete() && entry.unblocked(*round, *step));
    open.map(|((round, step), _)| Unit { job: id, round: *round, step: *step })
}
