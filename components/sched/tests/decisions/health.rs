//! Placement on workers in poor health: they failed runs, left orders unanswered, or show no progress.

use std::time::Duration;

use sched::{Action, OrderOutcome, RunOutcome};
use work::Step;

use crate::cell::{Cell, running, step};

/// Starts a task on each of the workers.
fn one_run_each(cell: &mut Cell, workers: usize) -> Vec<(String, sched::Start)> {
    cell.submit(1, "urgent", vec![Step { max_per_worker: 1, ..step(workers as u32, 1) }]);
    let starts = cell.starts();
    starts.iter().for_each(|(worker, start)| cell.confirm_start(worker, start));
    starts
}

/// Three runs in a row fail on the only worker, each of a job that is then cancelled.
fn fail_three_times(cell: &mut Cell) {
    for job in 1..=3 {
        cell.submit(job, "urgent", vec![step(1, 1)]);
        let (worker, start) = cell.starts().remove(0);
        cell.confirm_start(&worker, &start);
        cell.end(&worker, &start, RunOutcome::Failed);
        cell.engine.cancel(cell.clock(), job);
        cell.write();
    }
}

#[test]
fn a_worker_that_leaves_starts_unanswered_is_avoided() {
    let mut cell = Cell::new(4).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let first = cell.starts();
    let (worker, start) = &first[0];
    cell.engine.start_answered(cell.clock(), worker, start.task, start.attempt, OrderOutcome::Unknown);
    let stops = cell.plan();
    assert!(matches!(stops.as_slice(), [Action::Stop(..)]), "a stop settles the unanswered start: {stops:?}");
    cell.engine.stop_accepted(worker, start.task, start.attempt);
    cell.report(worker, &[], &[]);
    let second = cell.starts();
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].0, *worker, "another worker has room");
    assert!(second[0].1.attempt > start.attempt);
}

#[test]
fn a_worker_whose_last_run_failed_is_used_last() {
    let mut cell = Cell::new(3).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (failing, start) = cell.starts().remove(0);
    cell.confirm_start(&failing, &start);
    cell.end(&failing, &start, RunOutcome::Failed);
    cell.submit(2, "urgent", vec![step(1, 15)]);
    let starts = cell.starts();
    assert_eq!(starts.len(), 2, "the failed task again, and the large one");
    assert!(starts.iter().all(|(worker, _)| *worker != failing), "others have room: {starts:?}");
    cell.submit(3, "urgent", vec![step(2, 15)]);
    let last = cell.starts();
    assert!(last.iter().any(|(worker, _)| *worker == failing), "it is used when no other worker has room");
}

#[test]
fn a_worker_that_fails_repeatedly_gets_one_task_at_a_time() {
    let mut cell = Cell::new(1).ready();
    fail_three_times(&mut cell);
    cell.now += Duration::from_secs(10);
    cell.report("w0", &[], &[]);
    cell.submit(4, "urgent", vec![step(4, 1)]);
    let trial = cell.starts();
    assert_eq!(trial.len(), 1, "the worker is still on probation");
    cell.confirm_start("w0", &trial[0].1);
    assert!(cell.starts().is_empty(), "the trial run hasn't ended");
    cell.submit(5, "urgent", vec![Step { gang: true, ..step(1, 1) }]);
    cell.end("w0", &trial[0].1, RunOutcome::Done);
    assert_eq!(cell.starts().len(), 4, "the worker is healthy again: the other three tasks and the gang start");
}

#[test]
fn a_gang_waits_a_limited_time_for_a_worker_on_probation() {
    let mut cell = Cell::new(1).ready();
    fail_three_times(&mut cell);
    cell.submit(4, "urgent", vec![Step { gang: true, ..step(2, 1) }]);
    cell.now += Duration::from_secs(5);
    cell.report("w0", &[], &[]);
    assert!(cell.starts().is_empty(), "a single task might first show that the worker is healthy");
    cell.now += Duration::from_secs(10);
    cell.report("w0", &[], &[]);
    assert_eq!(cell.starts().len(), 2, "no single task has come, and there is no other worker");
}

#[test]
fn a_worker_without_progress_is_used_last() {
    let mut cell = Cell::new(2).ready();
    let runs = one_run_each(&mut cell, 2);
    let (stuck, healthy) = (&runs[0], &runs[1]);
    for percent in 1..=6 {
        cell.now += Duration::from_millis(400);
        cell.report(&stuck.0, &[running(&stuck.1)], &[]);
        cell.report(&healthy.0, &[sched::Running { percent, ..running(&healthy.1) }], &[]);
    }
    cell.submit(2, "urgent", vec![step(2, 1)]);
    let starts = cell.starts();
    assert!(starts.iter().all(|(worker, _)| *worker == healthy.0), "{starts:?}");
}

/// With many busy workers, renewals are 2 s apart. With the limits for a small fleet, all of them counted as silent
/// after 1.2 s.
#[test]
fn rarely_renewed_workers_are_neither_silent_nor_stalled() {
    let mut cell = Cell::new(1100).ready();
    cell.submit(1, "urgent", vec![step(1100, 10)]);
    let started = cell.starts();
    assert_eq!(started.len(), 1100);
    for (worker, start) in &started {
        cell.confirm_start(worker, start);
        cell.report(worker, &[running(start)], &[]);
    }
    assert_eq!(cell.engine.busy_renewal_interval(), Duration::from_secs(2));
    cell.now += Duration::from_millis(1900);
    cell.submit(2, "urgent", vec![step(1, 6)]);
    assert_eq!(cell.starts().len(), 1);
}
