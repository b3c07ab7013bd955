//! Workers that go down and are back under their former id.
//!
//! What users would see: a task that takes its workers down is started without end, and all that stood beside it is lost each time, on a
//! platform where a worker that starts again keeps its id. In the order of events: the task starts, its worker answers, goes down, and is
//! back a second later with an empty list; the task starts again.
//!
//! Evidence: with four such workers 13 starts of 13 rounds, the job still running and nothing held against it, whether they are back
//! before or after their leases have run out; with new ids the same task is given up after three.
//!
//! Cause: that a worker has ended was learnt from its id alone. A run that its list lacks was let go without a word, and ends were counted
//! once an id. What was remembered of a worker whose leases had run out was forgotten with its next answer, whoever gave it.

use std::time::Duration;

use sched::{RunOutcome, Start};
use work::{Outcome, State};

use crate::cell::{Cell, step};

/// A task may be started twice more after three workers went down under it: a bound of the platform.
const MOST_STARTS: usize = 5;
/// A worker that went down is back after this time, before its leases have run out.
const SOON: Duration = Duration::from_secs(1);
/// ... or after they have, as is known by then.
const LATE: Duration = Duration::from_secs(7);

/// What a leader learns while a worker that goes down is away.
#[derive(Clone, Copy, PartialEq)]
enum Away {
    /// Nothing.
    Soon,
    /// That its leases have run out.
    Late,
}

/// A worker goes down and is back under its id, with an empty list. All others answer as before.
fn restart(cell: &mut Cell, worker: &str, away: Away) {
    match away {
        Away::Soon => cell.now += SOON,
        Away::Late => {
            cell.now += LATE;
            cell.engine.leases_expired(cell.clock(), worker);
        }
    }
    let ids: Vec<String> = cell.infos.keys().cloned().collect();
    ids.iter().for_each(|id| cell.report(id, &[], &[]));
}

/// The next start, which its worker takes.
fn next_start(cell: &mut Cell) -> Option<(String, Start)> {
    let start = cell.starts().into_iter().next()?;
    cell.started(&start.0, &start.1);
    Some(start)
}

/// Each worker goes down that starts the task of job 1, until that is given up.
fn take_workers_down(workers: usize, away: Away) {
    let mut cell = Cell::new(workers).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let mut starts = 0;
    while let Some((worker, _)) = next_start(&mut cell) {
        starts += 1;
        assert!(starts <= MOST_STARTS, "started {starts} times, each worker went down");
        restart(&mut cell, &worker, away);
    }
    cell.write();
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Failed)));
}

#[test]
fn a_task_whose_workers_are_back_within_their_leases_is_given_up() {
    take_workers_down(4, Away::Soon);
}

#[test]
fn a_task_whose_workers_are_back_after_their_leases_is_given_up() {
    take_workers_down(4, Away::Late);
}

/// Each end counts, also of a worker that went down before: a cell of two workers has no third one to count.
#[test]
fn a_task_that_takes_two_workers_down_in_turn_is_given_up() {
    take_workers_down(2, Away::Soon);
}

/// The numbers of a worker's ends begin again with each of its lives. An end that was passed over for its low number left its task to be
/// done a second time.
#[test]
fn an_end_of_a_next_life_counts_though_its_number_was_there_before() {
    let mut cell = Cell::new(1).ready();
    for job in 1..=3 {
        cell.submit(job, "urgent", vec![step(1, 1)]);
        let (worker, start) = next_start(&mut cell).expect("it starts");
        cell.end(&worker, &start, RunOutcome::Done);
    }
    cell.numbers.clear();
    cell.report("w0", &[], &[]);
    cell.submit(4, "urgent", vec![step(1, 1)]);
    let (worker, start) = next_start(&mut cell).expect("it starts");
    cell.end(&worker, &start, RunOutcome::Done);
    assert!(cell.starts().is_empty(), "it is done");
    assert_eq!(cell.engine.state(4), Some(State::Ended(Outcome::Completed)));
    assert_eq!(cell.engine.acked("w0"), 1, "what is acknowledged is the next life's");
}
