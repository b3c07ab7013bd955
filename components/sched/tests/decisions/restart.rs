//! Workers that crash and restart under the same id.
//!
//! Guards against restarting a task without end that crashes each of its workers, which also loses all other runs
//! there. This happened on a platform where a restarted worker keeps its id: the worker answered the start, crashed,
//! and was back a second later with an empty list. With four such workers the task started in 13 of 13 rounds,
//! whether they were back before or after their leases had expired. With new ids the same task was given up after
//! three ends.
//!
//! Cause: the end of a worker was detected only from a change of its id. A run that was missing in its list was
//! dropped silently, ends were counted once per id, and what was known of a worker with expired leases was forgotten
//! with the next answer, whichever incarnation gave it.

use std::time::Duration;

use sched::{RunOutcome, Start};
use work::{Outcome, State};

use crate::cell::{Cell, step};

/// The platform allows a task to start two more times after three workers have crashed under it.
const MAX_STARTS: usize = 5;
/// A crashed worker is back after this time, before its leases have expired.
const RESTART_BEFORE_EXPIRY: Duration = Duration::from_secs(1);
/// A crashed worker is back after this time, after its leases have expired, which the leader knows by then.
const RESTART_AFTER_EXPIRY: Duration = Duration::from_secs(7);

/// What a leader learns while a crashed worker is away.
#[derive(Clone, Copy, PartialEq)]
enum Downtime {
    /// Nothing.
    BeforeExpiry,
    /// That its leases have expired.
    AfterExpiry,
}

/// A worker crashes and is back under its id, with an empty list. All others answer as before.
fn crash_and_restart(cell: &mut Cell, worker: &str, downtime: Downtime) {
    match downtime {
        Downtime::BeforeExpiry => cell.now += RESTART_BEFORE_EXPIRY,
        Downtime::AfterExpiry => {
            cell.now += RESTART_AFTER_EXPIRY;
            cell.engine.leases_expired(cell.clock(), worker);
        }
    }
    let ids: Vec<String> = cell.infos.keys().cloned().collect();
    ids.iter().for_each(|id| cell.report(id, &[], &[]));
}

/// The next start, which its worker confirms.
fn next_start(cell: &mut Cell) -> Option<(String, Start)> {
    let start = cell.starts().into_iter().next()?;
    cell.confirm_start(&start.0, &start.1);
    Some(start)
}

/// Each worker that starts the task of job 1 crashes, until the task is given up.
fn crash_each_worker(workers: usize, downtime: Downtime) {
    let mut cell = Cell::new(workers).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let mut starts = 0;
    while let Some((worker, _)) = next_start(&mut cell) {
        starts += 1;
        assert!(starts <= MAX_STARTS, "started {starts} times, and each worker crashed");
        crash_and_restart(&mut cell, &worker, downtime);
    }
    cell.write();
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Failed)));
}

#[test]
fn a_task_whose_workers_restart_before_their_leases_expire_is_given_up() {
    crash_each_worker(4, Downtime::BeforeExpiry);
}

#[test]
fn a_task_whose_workers_restart_after_their_leases_expire_is_given_up() {
    crash_each_worker(4, Downtime::AfterExpiry);
}

/// Each end counts, also of a worker that crashed before: a cell of two workers has no third one to count.
#[test]
fn a_task_that_crashes_two_workers_in_turn_is_given_up() {
    crash_each_worker(2, Downtime::BeforeExpiry);
}

/// Each incarnation of a worker numbers its ends from 1. When an end was ignored because of its low number, its task
/// ran a second time.
#[test]
fn an_end_of_the_next_incarnation_counts_although_its_number_was_used_before() {
    let mut cell = Cell::new(1).ready();
    for job in 1..=3 {
        cell.submit(job, "urgent", vec![step(1, 1)]);
        let (worker, start) = next_start(&mut cell).expect("it starts");
        cell.end(&worker, &start, RunOutcome::Done);
    }
    cell.end_numbers.clear();
    cell.report("w0", &[], &[]);
    cell.submit(4, "urgent", vec![step(1, 1)]);
    let (worker, start) = next_start(&mut cell).expect("it starts");
    cell.end(&worker, &start, RunOutcome::Done);
    assert!(cell.starts().is_empty(), "the task is done");
    assert_eq!(cell.engine.state(4), Some(State::Ended(Outcome::Completed)));
    assert_eq!(cell.engine.acked("w0"), 1, "the acknowledged end is that of the next incarnation");
}
