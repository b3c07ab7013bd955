//! The platform's list against a worker's own answers.
//!
//! What users would see: a task runs on two workers at once, or is started again after it was done. In the order of events: workers start
//! again at their addresses under new ids; answers of the store are lost or late; a list shows the entry of a former life and lacks that of
//! the present one, which has just answered; what runs there is taken for gone and starts elsewhere.
//!
//! Evidence: on a day with such cuts and such a store the next leader recorded the former entry, was told at its address that another life
//! is there, and 0.9 s later, with a list that lacked the present life's entry, gave that one up 0.47 s after its last answer; ten of its
//! runs went on while their tasks started elsewhere.
//!
//! Cause: a life without an entry was taken for over once any entry showed its address, though neither an absent entry nor one whose age isn't
//! known proves anything.

use sched::{Action, RunOutcome};
use work::{Outcome, State};

use crate::cell::{Cell, running, step};

/// A cell whose worker `w0` has started again as `w1`, at the same address. Its infos show the present life.
fn started_again() -> Cell {
    let mut cell = Cell::new(1).ready();
    let info = cell.infos["w0"].clone();
    cell.engine.worker_replaced(cell.clock(), "w0", None);
    cell.infos = [("w1".to_owned(), info)].into();
    let mut cell = cell.ready();
    cell.plan();
    cell
}

/// The list shows the worker `w0` instead of `w1`, or the other way round.
fn show(cell: &mut Cell, id: &str) {
    let info = cell.infos.values().next().expect("one").clone();
    cell.infos = [(id.to_owned(), info)].into();
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
}

fn knows(cell: &Cell, id: &str) -> bool {
    cell.engine.addresses().iter().any(|(known, _)| known == id)
}

/// Whether a planning pass neither starts nor stops anything.
fn is_calm(cell: &mut Cell) -> bool {
    cell.plan().iter().all(|action| !matches!(action, Action::Start(..) | Action::Stop(..)))
}

#[test]
fn an_entry_of_a_former_life_ends_no_worker_that_answers() {
    let mut cell = started_again();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    assert_eq!(worker, "w1");
    cell.started(&worker, &start);
    cell.report(&worker, &[running(&start)], &[]);
    show(&mut cell, "w0");
    assert!(knows(&cell, "w1"), "it has just answered");
    assert!(cell.engine.take_ended_workers().iter().all(|ended| ended.runs.is_empty()), "nothing has ended");
    assert!(is_calm(&mut cell));
    cell.end(&worker, &start, RunOutcome::Done);
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
    assert!(is_calm(&mut cell), "it is done");
}

#[test]
fn a_next_leader_does_not_end_a_worker_for_an_entry_of_its_former_life() {
    let mut before = started_again();
    before.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = before.starts().remove(0);
    let mut cell = Cell::after(1, 2, &before.log);
    cell.infos = before.infos.clone();
    show(&mut cell, "w0");
    cell.report(&worker, &[running(&start)], &[]);
    show(&mut cell, "w0");
    assert!(knows(&cell, "w1"), "it has just answered");
    assert!(!knows(&cell, "w0"), "the log says that it is over, and another life is at its address");
    assert!(is_calm(&mut cell), "the task goes on");
    cell.end(&worker, &start, RunOutcome::Done);
    assert_eq!(cell.engine.state(1), Some(State::Ended(Outcome::Completed)));
}

/// A worker that is silent may be cut off and run on: an entry at its address doesn't tell which life came first.
#[test]
fn an_entry_whose_age_is_not_known_ends_no_silent_worker() {
    let mut cell = started_again();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    cell.now += std::time::Duration::from_secs(3);
    show(&mut cell, "w7");
    assert!(knows(&cell, "w1"), "its leases haven't run out");
    assert!(is_calm(&mut cell));
}

/// A worker that has really started again shows by its own answer.
#[test]
fn a_listed_life_takes_the_place_of_one_whose_address_answers_as_another() {
    let mut cell = started_again();
    show(&mut cell, "w2");
    cell.engine.worker_replaced(cell.clock(), "w1", None);
    cell.write();
    cell.report("w2", &[], &[]);
    cell.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(cell.starts()[0].0, "w2");
    assert!(!knows(&cell, "w1"));
}

/// Births of one machine follow one another: there a list proves which life is the later one.
#[test]
fn a_listed_life_that_was_born_later_at_the_address_ends_the_former() {
    let mut cell = started_again();
    show(&mut cell, "w3@1000");
    cell.engine.worker_replaced(cell.clock(), "w1", None);
    cell.write();
    show(&mut cell, "w4@2000");
    assert!(!knows(&cell, "w3@1000"));
    show(&mut cell, "w3@1000");
    assert!(knows(&cell, "w4@2000"), "an earlier birth proves nothing");
}
