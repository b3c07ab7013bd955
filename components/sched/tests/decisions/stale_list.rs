//! Contradictions between the platform's list of workers and the workers' own answers.
//!
//! Guards against running a task on two workers at once, or again after it was done: workers restart at their
//! addresses under new ids while answers of the store are lost or late, a list shows the entry of an earlier
//! incarnation and lacks that of the present one, and runs on the present one are taken for lost and start elsewhere.
//! In one case the next leader recorded the earlier entry and learnt at its address that another incarnation is
//! there. 0.9 s later, with a list that lacked the present incarnation, it gave that one up 0.47 s after its last
//! answer, and ten of its runs continued while their tasks started elsewhere.
//!
//! Cause: an incarnation without an entry was considered ended once any entry showed its address, although neither a
//! missing entry nor one of unknown age proves anything.

use sched::{Action, RunOutcome};
use work::{Outcome, State};

use crate::cell::{Cell, running, step};

/// A cell whose worker `w0` has restarted as `w1`, at the same address. Its `infos` show the present incarnation.
fn restarted_cell() -> Cell {
    let mut cell = Cell::new(1).ready();
    let info = cell.infos["w0"].clone();
    cell.engine.worker_replaced(cell.clock(), "w0", None);
    cell.infos = [("w1".to_owned(), info)].into();
    let mut cell = cell.ready();
    cell.plan();
    cell
}

/// The list shows a single entry, under this id, at the address of the worker.
fn update_list(cell: &mut Cell, id: &str) {
    let info = cell.infos.values().next().expect("one").clone();
    cell.infos = [(id.to_owned(), info)].into();
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
}

fn knows(cell: &Cell, id: &str) -> bool {
    cell.engine.addresses().iter().any(|(known, _)| known == id)
}

/// Whether a planning pass neither starts nor stops anything.
fn starts_and_stops_nothing(cell: &mut Cell) -> bool {
    cell.plan().iter().all(|action| !matches!(action, Action::Start(..) | Action::Stop(..)))
}

#[test]
fn an_entry_of_an_earlier_incarnation_does_not_end_a_worker_that_answers() {
    let mut cell = restarted_cell();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    assert_eq!(worker, "w1");
    cell.confirm_start(&worker, &start);
    cell.report(&worker, &[running(&start)], &[]);
    update_list(&mut cell, "w0");
    assert!(knows(&cell, "w1"), "it has just answered");
    assert!(cell.engine.take_ended_workers().iter().all(|ended| ended.runs.is_empty()), "no run has ended");
    assert!(starts_and_stops_nothing(&mut cell));
    cell.end(&worker, &start, RunOutcome::Done);
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
    assert!(starts_and_stops_nothing(&mut cell), "the task is done");
}

#[test]
fn a_next_leader_does_not_end_a_worker_for_an_entry_of_its_earlier_incarnation() {
    let mut before = restarted_cell();
    before.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = before.starts().remove(0);
    let mut cell = Cell::from_log(1, 2, &before.log);
    cell.infos = before.infos.clone();
    update_list(&mut cell, "w0");
    cell.report(&worker, &[running(&start)], &[]);
    update_list(&mut cell, "w0");
    assert!(knows(&cell, "w1"), "it has just answered");
    assert!(!knows(&cell, "w0"), "the log shows its end, and another incarnation is at its address");
    assert!(starts_and_stops_nothing(&mut cell), "the task continues");
    cell.end(&worker, &start, RunOutcome::Done);
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

/// A silent worker may be unreachable and still run tasks: an entry at its address doesn't tell which incarnation is
/// the later one.
#[test]
fn an_entry_of_unknown_age_does_not_end_a_silent_worker() {
    let mut cell = restarted_cell();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    cell.now += std::time::Duration::from_secs(3);
    update_list(&mut cell, "w7");
    assert!(knows(&cell, "w1"), "its leases haven't expired");
    assert!(starts_and_stops_nothing(&mut cell));
}

/// A worker that has really restarted shows it by its own answer.
#[test]
fn a_listed_incarnation_replaces_one_whose_address_answers_as_another() {
    let mut cell = restarted_cell();
    update_list(&mut cell, "w2");
    cell.engine.worker_replaced(cell.clock(), "w1", None);
    cell.write();
    cell.report("w2", &[], &[]);
    cell.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(cell.starts()[0].0, "w2");
    assert!(!knows(&cell, "w1"));
}

/// The births of incarnations on one machine are ordered, so that a list proves which incarnation is the later one.
#[test]
fn a_listed_incarnation_that_was_born_later_at_the_address_ends_the_earlier_one() {
    let mut cell = restarted_cell();
    update_list(&mut cell, "w3@1000");
    cell.engine.worker_replaced(cell.clock(), "w1", None);
    cell.write();
    update_list(&mut cell, "w4@2000");
    assert!(!knows(&cell, "w3@1000"));
    update_list(&mut cell, "w3@1000");
    assert!(knows(&cell, "w4@2000"), "an entry with an earlier birth proves nothing");
}
