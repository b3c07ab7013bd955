//! Jobs that make no progress although there is room are reported, with the reason.

use std::time::Duration;

use sched::{OrderOutcome, Stall};

use crate::cell::{Cell, running, step};

/// Longer than a job may have no runs without being reported.
const REPORTED_AFTER: Duration = Duration::from_secs(4);

/// The stalls that are reported after this time.
fn stalls(cell: &mut Cell, later: Duration) -> Vec<Stall> {
    cell.engine.stalls(cell.clock());
    cell.now += later;
    cell.engine.stalls(cell.clock())
}

#[test]
fn a_job_whose_ordered_run_no_worker_lists_is_reported_once() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.engine.start_answered(cell.clock(), &worker, start.task, start.attempt, OrderOutcome::Unknown);
    let found = stalls(&mut cell, REPORTED_AFTER);
    assert_eq!(found.len(), 1);
    assert_eq!(
        (found[0].waiting, found[0].unlisted, found[0].run_names.as_slice()),
        (0, 1, [format!("{} on w0", start.task)].as_slice())
    );
    assert_eq!(cell.engine.stalled_count(), 1);
    assert!(stalls(&mut cell, Duration::from_secs(3)).is_empty(), "the stall was reported already");
    cell.report(&worker, &[running(&start)], &[]);
    assert!(stalls(&mut cell, Duration::from_secs(3)).is_empty(), "the job runs");
    assert_eq!(cell.engine.stalled_count(), 0);
}

#[test]
fn a_job_that_waits_for_a_worker_of_an_earlier_leader_is_reported_with_the_worker() {
    let mut before = Cell::new(1).ready();
    before.submit(1, "urgent", vec![step(1, 1)]);
    before.starts();
    let mut cell = Cell::from_log(2, 2, &before.log);
    cell.infos.remove("w0");
    let mut cell = cell.ready();
    assert!(cell.starts().is_empty());
    let found = stalls(&mut cell, REPORTED_AFTER);
    assert!(found[0].why.contains("may still run on w0"), "{found:?}");
}

#[test]
fn a_job_that_waits_for_room_or_runs_is_not_reported() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 16)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    cell.report(&worker, &[running(&start)], &[]);
    cell.submit(2, "urgent", vec![step(1, 16)]);
    cell.starts();
    assert!(stalls(&mut cell, Duration::from_secs(3)).is_empty());
}
