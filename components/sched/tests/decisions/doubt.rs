//! Workers of which little is to be expected: they failed, left orders unanswered, or stand still.

use std::time::Duration;

use sched::{Action, OrderOutcome, RunOutcome};
use work::Step;

use crate::cell::{Cell, running, step};

/// A run of a task on each of the workers, which has begun.
fn one_run_each(cell: &mut Cell, workers: usize) -> Vec<(String, sched::Start)> {
    cell.submit(1, "urgent", vec![Step { max_per_worker: 1, ..step(workers as u32, 1) }]);
    let starts = cell.starts();
    starts.iter().for_each(|(worker, start)| cell.started(worker, start));
    starts
}

/// Three runs in a row fail on the only worker, each of a job that is cancelled then.
fn fail_three_times(cell: &mut Cell) {
    for job in 1..=3 {
        cell.submit(job, "urgent", vec![step(1, 1)]);
        let (worker, start) = cell.starts().remove(0);
        cell.started(&worker, &start);
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
    assert!(matches!(stops.as_slice(), [Action::Stop(..)]), "it is settled by a stop: {stops:?}");
    cell.engine.stop_accepted(worker, start.task, start.attempt);
    cell.report(worker, &[], &[]);
    let second = cell.starts();
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].0, *worker, "another worker has room");
    assert!(second[0].1.attempt > start.attempt);
}

#[test]
fn a_worker_whose_last_run_failed_is_taken_last() {
    let mut cell = Cell::new(3).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (bad, start) = cell.starts().remove(0);
    cell.started(&bad, &start);
    cell.end(&bad, &start, RunOutcome::Failed);
    cell.submit(2, "urgent", vec![step(1, 15)]);
    let starts = cell.starts();
    assert_eq!(starts.len(), 2, "the failed task again, and the large one");
    assert!(starts.iter().all(|(worker, _)| *worker != bad), "others have room: {starts:?}");
    cell.submit(3, "urgent", vec![step(2, 15)]);
    let last = cell.starts();
    assert!(last.iter().any(|(worker, _)| *worker == bad), "it is better than nothing");
}

#[test]
fn a_worker_that_fails_again_and_again_gets_one_task_at_a_time() {
    let mut cell = Cell::new(1).ready();
    fail_three_times(&mut cell);
    cell.now += Duration::from_secs(10);
    cell.report("w0", &[], &[]);
    cell.submit(4, "urgent", vec![step(4, 1)]);
    let trial = cell.starts();
    assert_eq!(trial.len(), 1, "nothing is known of it yet");
    cell.started("w0", &trial[0].1);
    assert!(cell.starts().is_empty(), "the trial goes on");
    cell.submit(5, "urgent", vec![Step { gang: true, ..step(1, 1) }]);
    cell.end("w0", &trial[0].1, RunOutcome::Done);
    assert_eq!(cell.starts().len(), 4, "it is sound again: the other three and the gang");
}

#[test]
fn a_gang_waits_for_a_worker_on_trial_only_for_a_while() {
    let mut cell = Cell::new(1).ready();
    fail_three_times(&mut cell);
    cell.submit(4, "urgent", vec![Step { gang: true, ..step(2, 1) }]);
    cell.now += Duration::from_secs(5);
    cell.report("w0", &[], &[]);
    assert!(cell.starts().is_empty(), "a single task might show first that the worker is sound");
    cell.now += Duration::from_secs(10);
    cell.report("w0", &[], &[]);
    assert_eq!(cell.starts().len(), 2, "none has come, and there is no other worker");
}

#[test]
fn a_worker_on_which_nothing_moves_is_taken_last() {
    let mut cell = Cell::new(2).ready();
    let runs = one_run_each(&mut cell, 2);
    let (stuck, sound) = (&runs[0], &runs[1]);
    for percent in 1..=6 {
        cell.now += Duration::from_millis(400);
        cell.report(&stuck.0, &[running(&stuck.1)], &[]);
        cell.report(&sound.0, &[sched::Running { percent, ..running(&sound.1) }], &[]);
    }
    cell.submit(2, "urgent", vec![step(2, 1)]);
    let starts = cell.starts();
    assert!(starts.iter().all(|(worker, _)| *worker == sound.0), "{starts:?}");
}

/// With many busy workers renewals are 2 s apart. Reckoned as on a small fleet, all of them were silent after 1.2 s.
#[test]
fn workers_that_are_renewed_rarely_are_neither_silent_nor_standing_still() {
    let mut cell = Cell::new(1100).ready();
    cell.submit(1, "urgent", vec![step(1100, 10)]);
    let started = cell.starts();
    assert_eq!(started.len(), 1100);
    for (worker, start) in &started {
        cell.started(worker, start);
        cell.report(worker, &[running(start)], &[]);
    }
    assert_eq!(cell.engine.busy_renewal_interval(), Duration::from_secs(2));
    cell.now += Duration::from_millis(1900);
    cell.submit(2, "urgent", vec![step(1, 6)]);
    assert_eq!(cell.starts().len(), 1);
}
