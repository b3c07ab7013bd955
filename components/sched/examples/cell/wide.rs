//! A load of wide gangs, wide patient steps and small urgent jobs, each in a queue with advice.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use model::Resources;
use work::{Job, JobId, Queue, Step, Unit, WorkerId};

use crate::cell;

/// Of [`MIX_LEN`] jobs, the number of wide gangs and of wide patient steps. The others are small and urgent.
const GANGS_OF_MIX: u64 = 7;
const PATIENT_OF_MIX: u64 = 9;
const MIX_LEN: u64 = 109;
/// Of all patient steps, one in this many runs at most one task on each worker.
const SPREAD_INTERVAL: u64 = 8;

/// The queues `gangs`, `steps` and `checks-wide`.
pub fn queues() -> Vec<Queue> {
    vec![
        cell::advised("gangs", (1, 2.2, 1000), (390_000, 5600)),
        cell::advised("steps", (2, 4.0, 3000), (140_000, 2000)),
        cell::advised("checks-wide", (0, 1.5, 300), (14_000, 200)),
    ]
}

/// A job of the mix, with its queue.
pub fn job(id: JobId) -> (&'static str, Job) {
    // Jobs of a kind don't arrive together.
    match id * 31 % MIX_LEN {
        place if place < GANGS_OF_MIX => ("gangs", step(48, 4500, 4000, Step { gang: true, ..Step::default() })),
        place if place < GANGS_OF_MIX + PATIENT_OF_MIX => {
            let max_per_worker = u32::from(id.is_multiple_of(SPREAD_INTERVAL));
            ("steps", step(60, 2700, 2700, Step { checkpoints: true, max_per_worker, ..Step::default() }))
        }
        _ => ("checks-wide", step(4, 3900, 1000, Step { gang: id % 10 < 3, ..Step::default() })),
    }
}

/// Whether the advice service allows a unit on a worker: a fixed half of all workers for each unit.
pub fn may_run(unit: Unit, worker: &WorkerId) -> bool {
    let mut hasher = DefaultHasher::new();
    (unit, worker).hash(&mut hasher);
    hasher.finish().is_multiple_of(2)
}

fn step(count: u32, cpu_milli: u32, estimate_ms: u64, step: Step) -> Job {
    let need = Resources { cpu_milli, memory_mib: 1024, accelerators: 0 };
    let step = Step { count, need, estimate: Duration::from_millis(estimate_ms), ..step };
    Job { specification: String::new(), steps: vec![step], schedule: None }
}
