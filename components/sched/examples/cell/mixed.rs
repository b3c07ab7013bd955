//! A mixed load: three queues with advice in one pool, with gangs and single tasks, as in docs/design/hard-load.md.

use std::time::Duration;

use model::Resources;
use work::{Job, JobId, Queue, Step};

/// Of ten urgent jobs, the number that are gangs.
const URGENT_GANGS_OF_TEN: u64 = 3;
/// Jobs of one kind, by queue, out of [`MIX_LEN`] jobs.
const LARGE_OF_MIX: u64 = 2;
const PATIENT_OF_MIX: u64 = 4;
const MIX_LEN: u64 = 10;

/// The queues `large`, `patient` and `urgent`.
pub fn queues() -> Vec<Queue> {
    let queue = |name, terms, advice| Queue { max_attempts: 4, ..super::advised(name, terms, advice) };
    vec![
        queue("large", (1, 2.0, 2_600), (715_000, 10_140)),
        queue("patient", (2, 4.0, 8_000), (130_000, 1_820)),
        queue("urgent", (0, 1.5, 250), (9_360, 130)),
    ]
}

/// A job of the mix, with its queue.
pub fn job(id: JobId) -> (&'static str, Job) {
    match id % MIX_LEN {
        place if place < LARGE_OF_MIX => ("large", step(20, 4500, 6_200, true, false)),
        place if place < LARGE_OF_MIX + PATIENT_OF_MIX => ("patient", step(25, 1700, 2_700, false, true)),
        _ => urgent(id),
    }
}

/// An urgent job.
pub fn urgent(id: JobId) -> (&'static str, Job) {
    ("urgent", step(3, 2500, 640, id / MIX_LEN % 10 < URGENT_GANGS_OF_TEN, false))
}

fn step(count: u32, cpu_milli: u32, estimate_ms: u64, gang: bool, checkpoints: bool) -> Job {
    let need = Resources { cpu_milli, memory_mib: 1024, accelerators: 0 };
    let estimate = Duration::from_millis(estimate_ms);
    let step = Step { count, need, estimate, gang, checkpoints, ..Step::default() };
    Job { specification: String::new(), steps: vec![step], schedule: None }
}
