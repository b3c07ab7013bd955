//! Lives of a worker that follow one another under its name, where the platform tells when each was born.
//!
//! What users would see: a task that runs twice at the same time. In the order of events: a start is sent and gets no answer; its worker
//! goes down and is back under its name; the leader learns of that and starts the task elsewhere; the order, which names the worker and
//! not its life, is carried out by the next one.
//!
//! Evidence: on the code before, the task starts elsewhere as soon as the list shows the next life, before that has answered. Cause: all
//! that was held of a worker was filed under its id, and went with it; ids were taken for lives.

use std::time::Duration;

use sched::{Action, OrderOutcome, RunOutcome, Start, Ticket};
use work::Evidence;

use crate::cell::{Cell, running, step};

/// A cell of two workers, of which the first gives no answer to a start of job 1 and is then back as another life.
fn back_after_an_unanswered_start() -> (Cell, Start) {
    let mut cell = Cell::new(2);
    let lives = cell.infos.clone().into_iter().map(|(name, info)| (format!("{name}@1000"), info));
    cell.infos = lives.collect();
    let mut cell = cell.ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    assert_eq!(worker, "w0@1000");
    cell.engine.start_answered(cell.clock(), &worker, start.task, start.attempt, OrderOutcome::Unknown);
    cell.now += Duration::from_millis(500);
    let info = cell.infos.remove(&worker).expect("listed");
    cell.infos.insert("w0@2000".to_owned(), info);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report("w1@1000", &[], &[]);
    (cell, start)
}

#[test]
fn an_order_that_the_next_life_may_carry_out_is_waited_for_and_stopped_there() {
    let (mut cell, start) = back_after_an_unanswered_start();
    assert!(cell.starts().is_empty(), "the next life may have it");
    cell.report("w0@2000", &[], &[]);
    let actions = cell.plan();
    let stopped = |action: &Action| {
        matches!(action, Action::Stop(worker, task, attempt)
            if worker == "w0@2000" && *task == start.task && *attempt == start.attempt)
    };
    assert!(actions.iter().any(stopped), "{actions:?}");
    assert!(cell.starts().is_empty(), "it may still come");
    cell.engine.stop_accepted("w0@2000", start.task, start.attempt);
    cell.report("w0@2000", &[], &[]);
    assert_eq!(cell.starts().len(), 1, "it is refused from now on");
}

/// A cell of one worker that was born at 1000, in contact.
fn born_at_1000() -> Cell {
    let mut cell = Cell::new(1);
    let info = cell.infos.remove("w0").expect("listed");
    cell.infos.insert("w0@1000".to_owned(), info);
    cell.ready()
}

/// The list shows one entry only, under this id.
fn show(cell: &mut Cell, id: &str) {
    let info = cell.infos.values().next().expect("one").clone();
    cell.infos = [(id.to_owned(), info)].into();
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
}

fn known(cell: &Cell) -> Vec<String> {
    cell.engine.addresses().into_iter().map(|(id, _)| id).collect()
}

#[test]
fn a_run_that_went_with_a_life_is_held_against_its_task() {
    let mut cell = born_at_1000();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    show(&mut cell, "w0@2000");
    let ended = cell.engine.take_ended_workers();
    assert_eq!((ended[0].worker.as_str(), ended[0].next.as_deref()), ("w0@1000", Some("w0@2000")));
    assert_eq!(ended[0].runs[0].evidence, Some(Evidence::Sole));
}

/// A run that was listed can only have been the former life's.
#[test]
fn a_run_that_a_former_life_listed_starts_again_at_once() {
    let mut cell = born_at_1000();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    cell.report(&worker, &[running(&start)], &[]);
    show(&mut cell, "w0@2000");
    cell.report("w0@2000", &[], &[]);
    assert_eq!(cell.starts().len(), 1);
}

/// The answer to a start doesn't tell which life has given it.
#[test]
fn a_start_that_was_answered_and_not_listed_is_stopped_at_the_next_life() {
    let mut cell = born_at_1000();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    show(&mut cell, "w0@2000");
    cell.report("w0@2000", &[running(&start)], &[]);
    assert!(matches!(cell.plan().as_slice(), [Action::Forget(_), Action::Stop(worker, ..)] if worker == "w0@2000"));
    cell.end("w0@2000", &start, RunOutcome::Stopped);
    assert_eq!(cell.starts().len(), 1);
}

/// Without an end to the wait a task stayed where nobody answers.
#[test]
fn a_next_life_that_never_answers_is_waited_for_as_long_as_a_lease_may_last() {
    let (mut cell, _) = back_after_an_unanswered_start();
    cell.now += Duration::from_secs(6);
    cell.report("w1@1000", &[], &[]);
    assert!(cell.starts().is_empty());
    cell.now += Duration::from_millis(300);
    cell.report("w1@1000", &[], &[]);
    assert_eq!(cell.starts().len(), 1);
}

/// The next life answers before its entry is written: until then the list still shows the former one.
#[test]
fn a_life_that_answers_before_it_is_listed_is_held_but_not_used() {
    let mut cell = born_at_1000();
    cell.engine.worker_replaced(cell.clock(), "w0@1000", Some("w0@2000".to_owned()));
    cell.write();
    show(&mut cell, "w0@1000");
    assert_eq!(known(&cell), ["w0@2000"]);
    cell.report("w0@2000", &[], &[]);
    cell.submit(1, "urgent", vec![step(1, 1)]);
    assert!(cell.starts().is_empty(), "what it offers isn't known yet");
    show(&mut cell, "w0@2000");
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn an_entry_whose_birth_goes_back_or_is_left_out_changes_nothing() {
    for entry in ["w0@999", "w0"] {
        let mut cell = born_at_1000();
        let written = cell.log.len();
        show(&mut cell, entry);
        cell.now += Duration::from_secs(4);
        cell.report("w0@1000", &[], &[]);
        show(&mut cell, entry);
        assert_eq!(known(&cell), ["w0@1000"], "{entry}");
        assert_eq!(cell.log.len(), written, "{entry}: {:?}", &cell.log[written..]);
        cell.submit(1, "urgent", vec![step(1, 1)]);
        assert_eq!(cell.starts().len(), 1, "{entry}: it is used as before");
    }
}

/// The platform, or the version of this program before, told of no birth.
#[test]
fn a_run_on_a_worker_whose_birth_becomes_known_goes_on() {
    let mut before = Cell::new(1).ready();
    before.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = before.starts().remove(0);
    assert_eq!(worker, "w0");
    before.started(&worker, &start);
    before.report(&worker, &[running(&start)], &[]);

    let mut cell = Cell::after(1, 2, &before.log);
    show(&mut cell, "w0@1000");
    assert_eq!(known(&cell), ["w0@1000"]);
    assert!(cell.starts().is_empty(), "it may run there");
    cell.report("w0@1000", &[running(&start)], &[]);
    assert!(cell.plan().is_empty(), "neither started again nor stopped");

    let mut next = Cell::after(1, 3, &cell.log);
    show(&mut next, "w0@1000");
    assert_eq!(known(&next), ["w0@1000"]);
    assert!(next.starts().is_empty(), "the log says so, too");

    show(&mut before, "w0@1000");
    before.report("w0@1000", &[running(&start)], &[]);
    assert!(before.plan().iter().all(|action| matches!(action, Action::Forget(_))), "under the same leader as well");
    assert_eq!(known(&before), ["w0@1000"]);
}

#[test]
fn what_an_earlier_leader_ordered_at_a_former_life_is_waited_for_at_the_next() {
    let mut before = born_at_1000();
    before.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(before.starts().len(), 1);

    let mut cell = Cell::after(2, 2, &before.log);
    let other = cell.infos["w1"].clone();
    let info = cell.infos["w0"].clone();
    cell.infos = [("w0@2000".to_owned(), info), ("w1@1000".to_owned(), other)].into();
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report("w1@1000", &[], &[]);
    assert!(cell.starts().is_empty(), "the order may be on its way to the next life");
    cell.report("w0@2000", &[], &[]);
    assert_eq!(cell.starts().len(), 1, "that one takes none of an earlier leader any more");
}

#[test]
fn a_ticket_for_a_former_life_is_not_used_for_the_next() {
    let mut cell = born_at_1000();
    cell.submit(1, "advised", vec![step(1, 1)]);
    let asked = |actions: Vec<Action>| {
        actions.into_iter().find_map(|action| match action {
            Action::Ask(question) => Some(question),
            _ => None,
        })
    };
    let question = asked(cell.plan()).expect("it asks");
    show(&mut cell, "w0@2000");
    cell.report("w0@2000", &[], &[]);
    let ticket = Ticket { text: "ticket".to_owned(), until: cell.now + Duration::from_secs(2) };
    cell.engine.advice_received(question.unit, &question.workers, vec![("w0@1000".to_owned(), ticket)]);
    let question = asked(cell.plan()).expect("it asks anew");
    assert_eq!(question.workers, ["w0@2000"]);
}
