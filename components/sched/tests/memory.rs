//! Memory that jobs are charged for: it covers their tasks and rounds, and is released when they have ended.

use std::sync::Arc;
use std::time::Duration;

use sched::{Clock, Engine, Limits, Owner, job_memory};
use work::{Config, Job, Record, Schedule, Step, Task, Unit};

const KEEP_ENDED: Duration = Duration::from_secs(120);

fn engine() -> Engine {
    let max_lease = Duration::from_secs(6);
    let limits = Limits { max_lease, lease: sched::lease(max_lease), keep_ended: KEEP_ENDED };
    Engine::new(limits, 1, Arc::new(Config::default()), Duration::ZERO)
}

fn at(seconds: u64) -> Clock {
    Clock { now: Duration::from_secs(seconds), wall: Duration::from_secs(seconds) }
}

fn job(tasks: u32, rounds: u32) -> Job {
    let step = Step { count: tasks, label: "x".repeat(1000), ..Step::default() };
    let schedule = Schedule { rounds, first: Duration::ZERO, every: Duration::from_millis(1) };
    Job { specification: "text".to_owned(), steps: vec![step], schedule: (rounds > 1).then_some(schedule) }
}

/// Writes all records, as the leader does.
fn write(engine: &mut Engine, clock: Clock) {
    while engine.has_pending_records() {
        let (_, up_to) = engine.take_records(1_000_000);
        engine.mark_durable(clock, up_to);
    }
}

#[test]
fn ended_jobs_keep_little_and_forgotten_ones_nothing() {
    let mut engine = engine();
    for id in 1..=10 {
        engine.accept(at(1), id, Owner::public("r-1"), job(1000, 1));
    }
    write(&mut engine, at(1));
    let accepted = engine.memory();
    assert!(accepted >= 10 * job_memory(&job(1000, 1)));
    for id in 1..=10 {
        engine.cancel(at(2), id);
    }
    write(&mut engine, at(2));
    engine.forget_ended_jobs(at(3).now);
    assert!(engine.memory() < accepted / 50, "{} of {accepted} bytes", engine.memory());
    engine.forget_ended_jobs(at(2).now + KEEP_ENDED);
    assert_eq!(engine.memory(), 0);
}

#[test]
fn a_withdrawn_job_is_charged_for_nothing() {
    let mut engine = engine();
    engine.accept(at(1), 7, Owner::public("r-1"), job(1000, 1));
    assert!(engine.withdraw(7));
    assert_eq!(engine.memory(), 0);
}

#[test]
fn the_charge_follows_tasks_and_rounds_up_to_what_is_open_at_a_time() {
    let one = job_memory(&job(1000, 1));
    assert!(job_memory(&job(2000, 1)) > one + 1000 * 100);
    assert!(job_memory(&job(1000, 5)) > 4 * one);
    let many = job_memory(&job(1000, 10_000));
    assert!(many < 20 * one, "rounds that aren't open take little: {many} of {one}");
}

/// Guards against tasks of complete rounds that run again after a takeover since their states were released.
#[test]
fn complete_rounds_stay_complete_for_the_next_leader_though_their_tasks_are_released() {
    let mut engine = engine();
    let task = |index| Task { unit: Unit { job: 7, round: 0, step: 0 }, index };
    let (at_start, accepted) = (
        at(1),
        Record::Accepted { id: 7, queue: "r-1".to_owned(), workspace: None, at: Duration::ZERO, job: job(5, 3) },
    );
    engine.replay(at_start, accepted);
    (0..5).for_each(|index| engine.replay(at_start, Record::Done { task: task(index) }));
    engine.finish_replay(at_start);
    engine.plan(at(2));
    engine.rewrite([7]);
    let (records, _) = engine.take_records(1_000_000);
    let is_done = |index| {
        let done = Record::Rewritten(Box::new(Record::Done { task: task(index) }));
        records.contains(&done)
    };
    assert!((0..5).all(is_done), "{records:?}");
}
