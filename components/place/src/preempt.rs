//! Selects patient tasks to stop so that urgent work can start: those with the least lost work that free enough resources
//! on one worker.

use std::time::Duration;

use model::task::{Attempt, Id};
use model::{Resources, WorkerId};

/// A patient task that may be preempted.
#[derive(Clone, Debug)]
pub struct Victim {
    pub task: Id,
    /// Its running attempt.
    pub attempt: Attempt,
    /// Resources that become free when it ends.
    pub resources: Resources,
    /// Run time since its last checkpoint, which would be lost.
    pub unsaved: Duration,
}

impl Victim {
    /// Lost work in core-seconds.
    fn loss(&self) -> f64 {
        self.unsaved.as_secs_f64() * f64::from(self.resources.cpu_milli) / 1000.0
    }
}

/// A worker and the patient tasks that it runs.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub worker: WorkerId,
    /// Free resources of the worker.
    pub free: Resources,
    /// Patient tasks on the worker.
    pub patient: Vec<Victim>,
}

/// The chosen worker and the tasks to stop on it.
#[derive(Clone, Debug)]
pub struct Preemption {
    pub worker: WorkerId,
    /// Tasks to stop.
    pub victims: Vec<Victim>,
}

/// Chooses the worker and victims with the least lost work. Returns `None` if no worker could free enough resources.
pub fn preempt(candidates: &[Candidate], need: &Resources) -> Option<Preemption> {
    let mut best: Option<(f64, Preemption)> = None;
    for candidate in candidates {
        let Some(victims) = victims(candidate, need) else { continue };
        let loss: f64 = victims.iter().map(Victim::loss).sum();
        if best.as_ref().is_none_or(|(least, _)| loss < *least) {
            best = Some((loss, Preemption { worker: candidate.worker.clone(), victims }));
        }
    }
    best.map(|(_, preemption)| preemption)
}

/// Adds victims, the cheapest first, until there is enough room, then drops those that are not needed after all.
fn victims(candidate: &Candidate, need: &Resources) -> Option<Vec<Victim>> {
    let mut cheapest: Vec<&Victim> = candidate.patient.iter().collect();
    cheapest.sort_by(|left, right| left.loss().total_cmp(&right.loss()));
    let mut free = candidate.free;
    let mut chosen = Vec::new();
    for victim in cheapest {
        if need.fits_in(&free) {
            break;
        }
        free = free.checked_add(&victim.resources)?;
        chosen.push(victim);
    }
    if !need.fits_in(&free) {
        return None;
    }
    let mut needed: Vec<Victim> = Vec::new();
    for victim in chosen.into_iter().rev() {
        match free.checked_sub(&victim.resources) {
            Some(without) if need.fits_in(&without) => free = without,
            _ => needed.push(victim.clone()),
        }
    }
    Some(needed)
}
