//! Measures a planning pass of the leader while many jobs wait: `cargo run --release -p sched --example backlog`.
//!
//! All workers are full, so that nothing starts, and the advice service allows a share of the workers to run each
//! job. It prints the CPU time of one pass, which any event at the leader may cause, and that of its parts. Besides
//! jobs of one queue it measures a mix of gangs and single tasks of three queues that use the advice service. With a
//! number of workers as its argument it measures only that cell.

mod cell;

use std::time::{Duration, Instant};

use sched::{Action, Clock, Engine, OrderOutcome, Owner, Report};
use work::{Advice, Job, JobId, Queue};

/// Numbers of workers in the measured cells.
const CELLS: [usize; 2] = [350, 3000];
/// Numbers of waiting jobs that are measured.
const BACKLOGS: [usize; 5] = [1, 100, 500, 1000, 2000];
/// Number of measured passes, after as many for warming up.
const PASSES: u32 = 20;
/// Time between two passes: the shortest that the leader uses.
const TICK: Duration = Duration::from_millis(2);
/// One in this many workers may run a job.
const ALLOWED_INTERVAL: usize = 2;
/// Number of tasks of a waiting job.
const TASKS_PER_JOB: u32 = 20;
/// CPU of a waiting task, in thousandths of a core.
const WAITING_CPU_MILLI: u32 = 1700;
/// CPU of a task that fills a worker, in thousandths of a core.
const WHOLE_CPU_MILLI: u32 = 16_000;
/// Id of the first waiting job; lower ids belong to running jobs.
const FIRST_WAITING: u64 = 1_000_000;

fn main() {
    let only = std::env::args().nth(1).and_then(|workers| workers.parse().ok());
    for workers in CELLS.into_iter().filter(|workers| only.is_none_or(|only: usize| only == *workers)) {
        println!("{workers} workers, all full; jobs of {TASKS_PER_JOB} tasks");
        BACKLOGS.iter().for_each(|jobs| report(workers, *jobs, queues(), plain));
        println!("{workers} workers, all full; gangs and single tasks of three queues with advice");
        BACKLOGS.iter().for_each(|jobs| report(workers, *jobs, mixed_queues(), cell::mixed::job));
    }
}

/// A job of one queue.
fn plain(_: JobId) -> (&'static str, Job) {
    ("patient", job(TASKS_PER_JOB, WAITING_CPU_MILLI))
}

/// Measures and prints the time of a pass.
fn report(workers: usize, jobs: usize, queues: Vec<Queue>, kind: fn(JobId) -> (&'static str, Job)) {
    let (pass, longest) = measure(workers, jobs, queues, kind);
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    println!("{jobs:>6} waiting jobs: {:>9.3} ms per pass, longest {:.3} ms", ms(pass), ms(longest));
    cell::parts::print(PASSES);
}

/// Mean and longest time of a pass with this many workers and waiting jobs.
fn measure(
    workers: usize,
    jobs: usize,
    queues: Vec<Queue>,
    kind: fn(JobId) -> (&'static str, Job),
) -> (Duration, Duration) {
    let mut clock = cell::start();
    let mut engine = full_engine(clock, workers, queues);
    for id in 0..jobs {
        let (queue, job) = kind(id as JobId);
        engine.accept(clock, FIRST_WAITING + id as JobId, Owner::public(queue), job);
    }
    cell::write(&mut engine, clock);
    for _ in 0..PASSES {
        pass(&mut engine, &mut clock);
    }
    cell::parts::reset();
    let times: Vec<Duration> = (0..PASSES).map(|_| pass(&mut engine, &mut clock)).collect();
    (times.iter().sum::<Duration>() / PASSES, times.into_iter().max().unwrap_or_default())
}

/// A leader whose workers are all full.
fn full_engine(clock: Clock, workers: usize, queues: Vec<Queue>) -> Engine {
    let mut engine = cell::engine(queues);
    let infos = cell::workers(workers);
    engine.update_workers(clock, infos.clone());
    cell::write(&mut engine, clock);
    let empty = Report { mark: engine.mark(), running: Vec::new(), ended: Vec::new(), truncated: false };
    for id in infos.keys() {
        engine.report(clock, id, empty.clone());
    }
    fill_workers(&mut engine, clock, workers);
    engine
}

/// Fills every worker with one large task.
fn fill_workers(engine: &mut Engine, clock: Clock, workers: usize) {
    engine.accept(clock, 1, Owner::public("plain"), job(workers as u32, WHOLE_CPU_MILLI));
    engine.plan(clock);
    cell::write(engine, clock);
    for action in engine.take_actions() {
        if let Action::Start(worker, start) = action {
            engine.start_answered(clock, &worker, start.task, start.attempt, OrderOutcome::Started);
        }
    }
}

/// Runs a planning pass, answers its questions, and returns the time of the planning alone.
fn pass(engine: &mut Engine, clock: &mut Clock) -> Duration {
    let started_at = Instant::now();
    cell::parts::plan(engine, *clock);
    let spent = started_at.elapsed();
    answer(engine, *clock);
    clock.now += TICK;
    spent
}

/// Answers each question at once: every second worker may run anything.
fn answer(engine: &mut Engine, clock: Clock) {
    for action in engine.take_actions() {
        if let Action::Ask(question) = action {
            let healthy = question.workers.iter().filter(|worker| is_allowed(worker));
            let tickets = cell::tickets(healthy, clock.now + question.validity);
            engine.advice_received(question.unit, &question.workers, tickets);
        }
    }
}

fn is_allowed(worker: &str) -> bool {
    worker.bytes().map(usize::from).sum::<usize>().is_multiple_of(ALLOWED_INTERVAL)
}

fn job(count: u32, cpu_milli: u32) -> Job {
    cell::job(count, cpu_milli, 3600, Duration::from_secs(2))
}

/// The queue of the running job, which has no advice, and those of the mix.
fn mixed_queues() -> Vec<Queue> {
    cell::mixed::queues().into_iter().chain([cell::queue("plain", None)]).collect()
}

/// A queue without advice and one with it.
fn queues() -> Vec<Queue> {
    let advice = Advice {
        base: Duration::from_millis(80),
        per_worker: Duration::from_millis(1),
        validity: Duration::from_secs(2),
    };
    let queue = |name, advice| Queue {
        priority: 2,
        max_attempts: 4,
        stretch: 4.0,
        objective: Duration::from_secs(3),
        ..cell::queue(name, advice)
    };
    vec![queue("plain", None), queue("patient", Some(advice))]
}
