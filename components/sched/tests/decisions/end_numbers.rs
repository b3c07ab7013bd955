//! Numbers of ends on workers that restart under the same id.
//!
//! Guards against running a task again that was done: a worker becomes unreachable, restarts meanwhile and is back
//! under its id; a task starts there and is done; its end is acknowledged, and the task starts again. One task that
//! must run once was started up to six more times on the same worker by the same leader, each 0.8 s after the one
//! before. On a larger cell, the second steps of two jobs didn't start although most of the room was free: their
//! first steps were done repeatedly on the same workers, because a cell with room picks the same worker each time.
//! After a hundred ends, a second step hadn't started 30 s after its first was done.
//!
//! Cause: each incarnation of a worker numbers its ends from 1. Ends up to the highest number of the earlier
//! incarnation were considered known and acknowledged without being processed. The run was then missing in the list,
//! and its task became pending again, until the numbers had caught up.

use std::time::Duration;

use sched::{RunOutcome, Start};
use work::{Outcome, State, Step};

use crate::cell::{Cell, running, step};

/// Number of ends that the worker has listed before it restarts.
const FEW_ENDS: u64 = 6;

/// The same on a worker with many ends.
const MANY_ENDS: u64 = 100;
/// Duration of a run, including the report of its end.
const RUN_TIME: Duration = Duration::from_millis(800);
/// Longer than any step may wait while there is free room.
const MAX_STEP_WAIT: Duration = Duration::from_secs(30);

/// The worker `id` runs these jobs one after the other, with one task each.
fn run_jobs(cell: &mut Cell, id: &str, jobs: std::ops::Range<u64>) {
    for job in jobs {
        cell.submit(job, "urgent", vec![step(1, 1)]);
        let (worker, start) = cell.starts().remove(0);
        assert_eq!(worker, id);
        run(cell, &worker, &start);
    }
}

/// A worker confirms a start, lists the run, and then its end.
fn run(cell: &mut Cell, worker: &str, start: &Start) {
    cell.confirm_start(worker, start);
    cell.report(worker, &[running(start)], &[]);
    cell.now += RUN_TIME;
    cell.end(worker, start, RunOutcome::Done);
    cell.report(worker, &[], &[]);
}

/// How often a task starts on the worker `id`, which lists each run as running and then as done.
fn starts_until_done(cell: &mut Cell, id: &str) -> usize {
    cell.submit(100, "urgent", vec![step(1, 1)]);
    let mut starts = 0;
    while let Some((worker, start)) = cell.starts().into_iter().next() {
        assert_eq!(worker, id);
        starts += 1;
        run(cell, &worker, &start);
    }
    assert_eq!(cell.engine.state(100), Some(State::Ended(Outcome::Completed)));
    starts
}

#[test]
fn a_task_done_on_a_worker_that_restarted_under_its_id_starts_once() {
    let mut cell = Cell::new(1).ready();
    run_jobs(&mut cell, "w0", 0..FEW_ENDS);
    cell.end_numbers.clear();
    assert_eq!(starts_until_done(&mut cell, "w0"), 1);
}

#[test]
fn a_second_step_starts_once_the_first_is_done_on_a_worker_that_restarted_under_its_id() {
    let mut cell = Cell::new(2).ready();
    run_jobs(&mut cell, "w0", 0..MANY_ENDS);
    cell.end_numbers.clear();
    let second = Step { after: vec![0], ..step(20, 1) };
    cell.submit(MANY_ENDS, "patient", vec![step(1, 1), second]);
    let started_at = cell.now;
    while cell.now < started_at + MAX_STEP_WAIT {
        let starts = cell.starts();
        if starts.iter().any(|(_, start)| start.task.unit.step == 1) {
            return;
        }
        starts.iter().for_each(|(worker, start)| run(&mut cell, worker, start));
        cell.now += RUN_TIME;
        cell.report("w1", &[], &[]);
    }
    panic!("the second step hasn't started after {MAX_STEP_WAIT:?}");
}
