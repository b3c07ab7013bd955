//! Shared parts of the measurements: a cell of identical workers, jobs of one step, and a queue with advice.

pub mod mixed;
pub mod parts;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use sched::{Clock, Engine, Limits, Ticket, WorkerInfo};
use work::{Advice, Config, Job, Queue, Step, WorkerId};

/// CPU of a worker, in thousandths of a core.
const WORKER_CPU_MILLI: u32 = 16_000;
/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;
/// Maximum size of a request body in bytes, as in the users' configurations.
const MAX_BODY_BYTES: usize = 262_144;

/// The time at which a measurement starts.
pub fn start() -> Clock {
    Clock { now: Duration::from_secs(1), wall: Duration::from_secs(1_000_000) }
}

/// The engine of a leader in its first term.
pub fn engine(queues: Vec<Queue>) -> Engine {
    let config = Config::new(1, queues, MAX_BODY_BYTES);
    Engine::new(Limits::example(), 1, Arc::new(config), Duration::ZERO)
}

/// A list of `count` workers.
pub fn workers(count: usize) -> BTreeMap<WorkerId, WorkerInfo> {
    (0..count).map(|number| (format!("worker-{number:05}"), info(number))).collect()
}

fn info(number: usize) -> WorkerInfo {
    WorkerInfo {
        address: format!("10.0.0.{number}:1"),
        pool: "pool".to_owned(),
        zone: "zone".to_owned(),
        labels: vec!["a".to_owned(), format!("rack-{}", number / WORKERS_PER_RACK)],
        capacity: Resources { cpu_milli: WORKER_CPU_MILLI, memory_mib: 65_536, accelerators: 0 },
        draining: false,
        evacuated: false,
    }
}

/// A job of one step with `count` tasks of this need and estimated time.
pub fn job(count: u32, cpu_milli: u32, memory_mib: u32, estimate: Duration) -> Job {
    let need = Resources { cpu_milli, memory_mib, accelerators: 0 };
    let step = Step { count, need, estimate, ..Step::default() };
    Job { specification: String::new(), steps: vec![step], schedule: None }
}

/// A queue for the workers' pool.
pub fn queue(name: &str, advice: Option<Advice>) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        public: true,
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        objective: Duration::from_millis(250),
        advice,
    }
}

/// A queue with advice. `base_us` and `per_worker_us` are the response times of the advice service in microseconds.
pub fn advised(
    name: &str,
    (priority, stretch, target_ms): (u32, f64, u64),
    (base_us, per_worker_us): (u64, u64),
) -> Queue {
    let advice = Advice {
        base: Duration::from_micros(base_us),
        per_worker: Duration::from_micros(per_worker_us),
        validity: Duration::from_secs(2),
    };
    Queue { priority, stretch, objective: Duration::from_millis(target_ms), ..queue(name, Some(advice)) }
}

/// A ticket for each of these workers.
pub fn tickets<'a>(workers: impl Iterator<Item = &'a WorkerId>, until: Duration) -> Vec<(WorkerId, Ticket)> {
    workers.map(|worker| (worker.clone(), Ticket { text: "ticket".to_owned(), until })).collect()
}

/// Writes all pending records.
pub fn write(engine: &mut Engine, clock: Clock) {
    let (_, upto) = engine.take_records(usize::MAX);
    engine.mark_durable(clock, upto);
}
