//! Measures a planning pass of the leader while many jobs wait: `cargo run --release -p sched --example backlog`.
//!
//! All workers are full, so that nothing starts; a share of the workers may run each job, by the adviser's word. What is
//! printed is the processor's time for one pass, which every event of the leader may cause.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::Resources;
use sched::{Action, Clock, Engine, Info, Limits, OrderOutcome, Report, Ticket};
use work::{Advice, Config, Job, Queue, Step, WorkerId};

/// Workers of the cells that are measured.
const CELLS: [usize; 2] = [350, 3000];
/// Jobs that wait in each measurement.
const BACKLOGS: [usize; 5] = [1, 100, 500, 1000, 2000];
/// Passes that are measured in each.
const PASSES: u32 = 20;
/// One worker in so many may run a job.
const ALLOWED: usize = 2;
/// Tasks of a waiting job.
const WIDTH: u32 = 20;

fn main() {
    for workers in CELLS {
        println!("{workers} workers, all full; jobs of {WIDTH} tasks");
        for jobs in BACKLOGS {
            let pass = measure(workers, jobs);
            println!("{jobs:>6} waiting jobs: {:>9.3} ms a pass", pass.as_secs_f64() * 1e3);
        }
    }
}

/// Mean time of a pass with so many workers and waiting jobs.
fn measure(workers: usize, jobs: usize) -> Duration {
    let mut clock = Clock { now: Duration::from_secs(1), wall: Duration::from_secs(1_000_000) };
    let mut engine = Engine::new(Limits::example(), 1, Arc::new(config()), Duration::ZERO);
    engine.list(clock, (0..workers).map(|number| (worker(number), info(number))).collect::<BTreeMap<_, _>>());
    write(&mut engine, clock);
    let held = Report { mark: engine.mark(), running: Vec::new(), ended: Vec::new() };
    (0..workers).for_each(|number| engine.report(clock, &worker(number), held.clone()));
    fill(&mut engine, clock, workers);
    for id in 0..jobs {
        engine.accept(clock, 1_000_000 + id as u64, "patient".to_owned(), job(WIDTH, 1700));
    }
    write(&mut engine, clock);
    for _ in 0..PASSES {
        advance(&mut engine, &mut clock);
    }
    let began = Instant::now();
    let mut spent = Duration::ZERO;
    for _ in 0..PASSES {
        let pass = Instant::now();
        engine.plan(clock);
        spent += pass.elapsed();
        answer(&mut engine, clock);
        clock.now += Duration::from_millis(2);
    }
    assert!(began.elapsed() >= spent);
    spent / PASSES
}

/// Fills every worker with one large task.
fn fill(engine: &mut Engine, clock: Clock, workers: usize) {
    engine.accept(clock, 1, "plain".to_owned(), job(workers as u32, 16_000));
    engine.plan(clock);
    write(engine, clock);
    for action in engine.take_actions() {
        if let Action::Start(worker, start) = action {
            engine.ordered(clock, &worker, start.task, start.attempt, OrderOutcome::Started);
        }
    }
}

fn advance(engine: &mut Engine, clock: &mut Clock) {
    engine.plan(*clock);
    answer(engine, *clock);
    clock.now += Duration::from_millis(2);
}

/// Answers every question at once: every second worker may run anything.
fn answer(engine: &mut Engine, clock: Clock) {
    for action in engine.take_actions() {
        if let Action::Ask(question) = action {
            let until = clock.now + question.validity;
            let healthy = question.workers.iter().filter(|worker| allowed(worker));
            let tickets = healthy.map(|worker| (worker.clone(), Ticket { text: "ticket".to_owned(), until })).collect();
            engine.advised(question.unit, &question.workers, tickets);
        }
    }
}

fn allowed(worker: &str) -> bool {
    worker.bytes().map(usize::from).sum::<usize>().is_multiple_of(ALLOWED)
}

fn write(engine: &mut Engine, clock: Clock) {
    let (_, upto) = engine.take_records(usize::MAX);
    engine.written(clock, upto);
}

fn worker(number: usize) -> WorkerId {
    format!("worker-{number:05}")
}

fn info(number: usize) -> Info {
    Info {
        address: format!("10.0.0.{number}:1"),
        pool: "pool".to_owned(),
        zone: "zone".to_owned(),
        labels: vec!["a".to_owned(), format!("rack-{}", number / 8)],
        capacity: Resources { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0 },
        draining: false,
    }
}

fn job(count: u32, cpu_milli: u32) -> Job {
    let need = Resources { cpu_milli, memory_mib: 3600, accelerators: 0 };
    let step = Step { count, need, estimate: Duration::from_secs(2), ..Step::default() };
    Job { specification: String::new(), steps: vec![step], schedule: None }
}

fn config() -> Config {
    let advice = Advice {
        base: Duration::from_millis(80),
        per_worker: Duration::from_millis(1),
        validity: Duration::from_secs(2),
    };
    let plain = Queue {
        name: "plain".to_owned(),
        host: "host".to_owned(),
        prefix: "/plain/".to_owned(),
        pool: "pool".to_owned(),
        priority: 2,
        max_attempts: 4,
        stretch: 4.0,
        objective: Duration::from_secs(3),
        advice: None,
    };
    let patient = Queue { name: "patient".to_owned(), advice: Some(advice), ..plain.clone() };
    Config { version: 1, queues: vec![plain, patient], max_body: 262_144 }
}
