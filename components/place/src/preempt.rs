//! Which patient tasks are stopped so that urgent work can start: the fewest losses that make enough room
//! on one worker.

use std::time::Duration;

use model::task::{Attempt, Id};
use model::{Resources, WorkerId};

/// A patient task that may be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The task.
    pub task: Id,
    /// Its running attempt.
    pub attempt: Attempt,
    /// What its end frees.
    pub resources: Resources,
    /// Work since its last checkpoint, which would have to be done again.
    pub unsaved: Duration,
}

impl Victim {
    /// Core-seconds that would be lost.
    fn loss(&self) -> f64 {
        self.unsaved.as_secs_f64() * f64::from(self.resources.cpu_milli) / 1000.0
    }
}

/// A worker with its patient tasks.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerId,
    /// Free now.
    pub free: Resources,
    /// Its patient tasks.
    pub patient: Vec<Victim>,
}

/// A worker and what to stop on it.
#[derive(Clone, Debug)]
pub struct Preemption {
    /// The worker.
    pub worker: WorkerId,
    /// Tasks to stop.
    pub victims: Vec<Victim>,
}

/// Chooses the worker and victims with the least loss; `None` when no worker could make enough room.
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

/// Cheapest first until there is room, then those spared that turn out not to be needed.
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
    let mut kept: Vec<Victim> = Vec::new();
    for victim in chosen.into_iter().rev() {
        match free.checked_sub(&victim.resources) {
            Some(without) if need.fits_in(&without) => free = without,
            _ => kept.push(victim.clone()),
        }
    }
    Some(kept)
}
