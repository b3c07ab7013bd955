//! Workers with more unacknowledged ends than they list at once.
//!
//! Guards against taking a run for lost whose end is merely not listed yet. While the store is down no end can be
//! acknowledged, so ends accumulate on the workers, which list only the first ones. Tasks that had completed were
//! started again, and the end of a worker that was up all the time was held against them.
//!
//! Cause: a run in neither list of a report counted as lost with an earlier incarnation of the worker, although the
//! list of ends may be truncated. A new leader took the same for proof that the run had never started or had ended
//! without completing its task.

use std::time::Duration;

use sched::{End, OrderOutcome, RunOutcome, Start};
use work::{Outcome, Record, State, Step, WorkerId};

use crate::cell::{Cell, running, step};

/// Longer than leases and the authority of an earlier leader last together.
const LONG_AFTER_TAKEOVER: Duration = Duration::from_secs(60);

/// The end of a run that is done, under this number.
fn done(number: u64, start: &Start) -> End {
    let (task, attempt) = (start.task, start.attempt);
    End { number, task, attempt, outcome: RunOutcome::Done, checkpoint: String::new() }
}

/// A cell in which a job of three tasks runs on `w0`, and its starts.
fn three_runs(workers: usize, step: Step) -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(workers).ready();
    cell.submit(1, "urgent", vec![step]);
    let starts = cell.starts();
    assert!(starts.iter().all(|(worker, _)| worker == "w0"), "{starts:?}");
    let starts: Vec<Start> = starts.into_iter().map(|(_, start)| start).collect();
    starts.iter().for_each(|start| cell.confirm_start("w0", start));
    cell.now += Duration::from_secs(1);
    let all: Vec<_> = starts.iter().map(running).collect();
    cell.report("w0", &all, &[]);
    (cell, starts)
}

/// A leader that takes over while three runs of an earlier one have ended on `w0`, whose records aren't written.
fn takeover(workers: usize) -> (Cell, Vec<Start>) {
    let (cell, starts) = three_runs(workers, step(3, 1));
    let mut next = Cell::from_log(workers, 2, &cell.log);
    next.engine.update_workers(next.clock(), next.infos.clone());
    next.write();
    (next, starts)
}

/// Number of worker ends that the log attributes to tasks.
fn attributed_ends(cell: &Cell) -> usize {
    cell.log.iter().filter(|record| matches!(record, Record::RunLost { .. })).count()
}

/// Guards against starting a task again that is done, after an outage of the store (TWICE).
#[test]
fn a_run_that_a_truncated_list_of_ends_lacks_is_not_lost() {
    let (mut cell, starts) = three_runs(1, step(3, 1));
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    assert!(cell.starts().is_empty(), "the other two may be done");
    assert_eq!(cell.engine.state(1), Some(State::Running));
    cell.report_truncated("w0", &[], &[done(2, &starts[1])]);
    cell.report("w0", &[], &[done(3, &starts[2])]);
    assert!(cell.starts().is_empty(), "all are done");
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

/// Guards against holding the end of a worker against tasks although it was up all the time.
#[test]
fn a_truncated_list_of_ends_is_no_evidence_of_a_restart() {
    let (mut cell, starts) = three_runs(1, step(3, 1));
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.report("w0", &[], &[done(2, &starts[1]), done(3, &starts[2])]);
    cell.plan();
    assert!(cell.engine.take_ended_workers().is_empty());
    assert_eq!(attributed_ends(&cell), 0);
}

/// Guards against a task that stays behind because the last list of its worker was truncated (LOST).
#[test]
fn a_run_that_the_next_complete_list_lacks_starts_again() {
    let (mut cell, starts) = three_runs(1, step(3, 1));
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.report("w0", &[], &[done(2, &starts[1])]);
    let again = cell.starts();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.task, starts[2].task);
}

/// Guards against tasks that stay behind on a worker that ends with a truncated list (LOST).
#[test]
fn runs_on_a_worker_that_ends_with_a_truncated_list_start_again() {
    let (mut cell, starts) = three_runs(2, step(3, 1));
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.engine.worker_replaced(cell.clock(), "w0", None);
    let again = cell.starts();
    assert_eq!(again.len(), 2, "{again:?}");
    assert!(again.iter().all(|(worker, _)| worker == "w1"));
}

/// Guards against tasks that stay behind on a worker that falls silent with a truncated list (LOST).
#[test]
fn runs_whose_leases_expire_behind_a_truncated_list_start_again() {
    let (mut cell, starts) = three_runs(2, step(3, 1));
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.now += Duration::from_secs(10);
    cell.engine.leases_expired(cell.clock(), "w0");
    cell.report("w1", &[], &[]);
    assert_eq!(cell.starts().len(), 2);
}

/// Guards against starting a task again that was done before the stop of its run arrived (TWICE).
#[test]
fn a_stopped_run_that_a_truncated_list_lacks_keeps_its_task() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(2, 1)]);
    let starts: Vec<Start> = cell.starts().into_iter().map(|(_, start)| start).collect();
    cell.confirm_start("w0", &starts[0]);
    cell.engine.start_answered(cell.clock(), "w0", starts[1].task, starts[1].attempt, OrderOutcome::Unknown);
    cell.engine.stop_accepted("w0", starts[1].task, starts[1].attempt);
    cell.now += Duration::from_secs(2);
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    assert!(cell.starts().is_empty());
    cell.report("w0", &[], &[done(2, &starts[1])]);
    assert!(cell.starts().is_empty());
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

/// Guards against stopping a gang at work because one member's end isn't listed yet.
#[test]
fn a_gang_goes_on_while_a_truncated_list_lacks_a_member() {
    let (mut cell, starts) = three_runs(1, Step { gang: true, ..step(3, 1) });
    let others = [running(&starts[0]), running(&starts[1])];
    cell.report_truncated("w0", &others, &[]);
    assert!(cell.plan().is_empty(), "nothing is stopped or started");
    cell.report("w0", &others, &[done(1, &starts[2])]);
    cell.write();
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

/// Guards against taking the answer of a worker whose leases had expired for that of a restarted one.
#[test]
fn an_expired_run_that_a_truncated_list_lacks_is_no_evidence_of_a_restart() {
    let (mut cell, starts) = three_runs(2, step(3, 1));
    cell.now += Duration::from_secs(10);
    cell.engine.leases_expired(cell.clock(), "w0");
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.report("w0", &[], &[done(2, &starts[1]), done(3, &starts[2])]);
    cell.plan();
    assert!(cell.engine.take_ended_workers().is_empty());
    assert_eq!(attributed_ends(&cell), 0);
}

/// Guards against overlooking the restart of a worker that crashed in silence and is back with many ends.
#[test]
fn an_expired_run_that_no_complete_list_shows_proves_a_restart() {
    let (mut cell, starts) = three_runs(2, step(3, 1));
    cell.now += Duration::from_secs(10);
    cell.engine.leases_expired(cell.clock(), "w0");
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.report("w0", &[], &[]);
    let ended: Vec<WorkerId> = cell.engine.take_ended_workers().into_iter().map(|ended| ended.worker).collect();
    assert_eq!(ended, ["w0"]);
}

/// Guards against starting tasks again after a takeover whose ends the first report doesn't list (TWICE).
#[test]
fn an_inherited_run_that_a_truncated_list_lacks_keeps_its_task() {
    let (mut cell, starts) = takeover(2);
    cell.report("w1", &[], &[]);
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    assert!(cell.starts().is_empty(), "the other two may be done");
    let why = &cell.engine.explain(cell.clock(), 1).expect("a known job").steps[0].why;
    assert!(why.contains("w0"), "it names the worker: {why}");
    cell.report("w0", &[], &[done(2, &starts[1]), done(3, &starts[2])]);
    assert!(cell.starts().is_empty(), "all are done");
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

/// Guards against the same while ends can't be acknowledged for long after a takeover (TWICE).
#[test]
fn an_inherited_run_keeps_its_task_as_long_as_lists_are_truncated() {
    let (mut cell, starts) = takeover(2);
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.now += LONG_AFTER_TAKEOVER;
    cell.report("w1", &[], &[]);
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    assert!(cell.starts().is_empty(), "the other two may be done");
}

/// Guards against tasks that stay behind after a takeover because one list was truncated (LOST).
#[test]
fn an_inherited_run_that_the_next_complete_list_lacks_starts_again() {
    let (mut cell, starts) = takeover(2);
    cell.report("w1", &[], &[]);
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.report("w0", &[], &[]);
    assert_eq!(cell.starts().len(), 2);
}

/// Guards against tasks that stay behind after a takeover on a worker that ends with a truncated list (LOST).
#[test]
fn inherited_runs_on_a_worker_that_ends_with_a_truncated_list_start_again() {
    let (mut cell, starts) = takeover(2);
    cell.report("w1", &[], &[]);
    cell.report_truncated("w0", &[], &[done(1, &starts[0])]);
    cell.engine.worker_replaced(cell.clock(), "w0", None);
    assert_eq!(cell.starts().len(), 2);
}

/// Guards against losing track of tasks if a worker restarts under its id and its first list is truncated (LOST, TWICE).
#[test]
fn a_restart_behind_a_truncated_list_is_settled_by_the_next_complete_one() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(2, 1)]);
    let earlier: Vec<Start> = cell.starts().into_iter().map(|(_, start)| start).collect();
    earlier.iter().for_each(|start| cell.confirm_start("w0", start));
    cell.report("w0", &[], &[done(1, &earlier[0]), done(2, &earlier[1])]);
    cell.submit(2, "urgent", vec![step(3, 1)]);
    let lost: Vec<Start> = cell.starts().into_iter().map(|(_, start)| start).collect();
    lost.iter().for_each(|start| cell.confirm_start("w0", start));
    let all: Vec<_> = lost.iter().map(running).collect();
    cell.report("w0", &all, &[]);
    // It restarts here, and numbers its ends anew.
    cell.submit(3, "urgent", vec![step(2, 1)]);
    let later: Vec<Start> = cell.starts().into_iter().map(|(_, start)| start).collect();
    later.iter().for_each(|start| cell.confirm_start("w0", start));
    cell.report_truncated("w0", &[], &[done(1, &later[0])]);
    assert!(cell.starts().is_empty(), "the others may be done");
    cell.report("w0", &[], &[done(1, &later[0]), done(2, &later[1])]);
    let again: Vec<_> = cell.starts().into_iter().map(|(_, start)| start.task).collect();
    assert_eq!(again, lost.iter().map(|start| start.task).collect::<Vec<_>>());
    assert_eq!(cell.engine.state(3), Some(State::Ended(Outcome::Completed)));
}
