//! Successive incarnations of a worker under one name, where the platform tells when each was born.
//!
//! Guards against running a task twice at the same time: a start is sent and gets no answer, and its worker restarts
//! under its name. The leader learns of the restart and starts the task elsewhere, while the order, which names the
//! worker and not its incarnation, is carried out by the next incarnation. This happened as soon as the list showed
//! the next incarnation, before that one had answered, because everything known about a worker was stored under its
//! id and dropped with it.

use std::time::Duration;

use sched::{Action, Limits, OrderOutcome, RunOutcome, Start, Ticket};
use work::Evidence;

use crate::cell::{Cell, running, step};

/// A cell of two workers, of which the first doesn't answer a start of job 1 and then restarts as another
/// incarnation.
fn restarted_after_an_unanswered_start() -> (Cell, Start) {
    let mut cell = Cell::new(2);
    let incarnations = cell.infos.clone().into_iter().map(|(name, info)| (format!("{name}@1000"), info));
    cell.infos = incarnations.collect();
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
fn an_order_that_the_next_incarnation_may_carry_out_is_stopped_there_first() {
    let (mut cell, start) = restarted_after_an_unanswered_start();
    assert!(cell.starts().is_empty(), "the next incarnation may run the task");
    cell.report("w0@2000", &[], &[]);
    let actions = cell.plan();
    let stopped = |action: &Action| {
        matches!(action, Action::Stop(worker, task, attempt)
            if worker == "w0@2000" && *task == start.task && *attempt == start.attempt)
    };
    assert!(actions.iter().any(stopped), "{actions:?}");
    assert!(cell.starts().is_empty(), "the order may still be carried out");
    cell.engine.stop_accepted("w0@2000", start.task, start.attempt);
    cell.report("w0@2000", &[], &[]);
    assert_eq!(cell.starts().len(), 1, "the worker refuses the order from now on");
}

/// A cell of one worker that was born at 1000, reachable.
fn born_at_1000() -> Cell {
    let mut cell = Cell::new(1);
    let info = cell.infos.remove("w0").expect("listed");
    cell.infos.insert("w0@1000".to_owned(), info);
    cell.ready()
}

/// The list shows a single entry, under this id.
fn update_list(cell: &mut Cell, id: &str) {
    let info = cell.infos.values().next().expect("one").clone();
    cell.infos = [(id.to_owned(), info)].into();
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
}

fn known_workers(cell: &Cell) -> Vec<String> {
    cell.engine.addresses().into_iter().map(|(id, _)| id).collect()
}

#[test]
fn a_run_that_ended_with_its_incarnation_is_attributed_to_its_task() {
    let mut cell = born_at_1000();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    update_list(&mut cell, "w0@2000");
    let ended = cell.engine.take_ended_workers();
    assert_eq!((ended[0].worker.as_str(), ended[0].next.as_deref()), ("w0@1000", Some("w0@2000")));
    assert_eq!(ended[0].runs[0].evidence, Some(Evidence::Sole));
}

/// A listed run can only have been started by the earlier incarnation.
#[test]
fn a_run_that_an_earlier_incarnation_listed_starts_again_at_once() {
    let mut cell = born_at_1000();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    cell.report(&worker, &[running(&start)], &[]);
    update_list(&mut cell, "w0@2000");
    cell.report("w0@2000", &[], &[]);
    assert_eq!(cell.starts().len(), 1);
}

/// The answer to a start doesn't tell which incarnation gave it.
#[test]
fn a_start_that_was_answered_and_not_listed_is_stopped_on_the_next_incarnation() {
    let mut cell = born_at_1000();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    update_list(&mut cell, "w0@2000");
    cell.report("w0@2000", &[running(&start)], &[]);
    assert!(matches!(cell.plan().as_slice(), [Action::Forget(_), Action::Stop(worker, ..)] if worker == "w0@2000"));
    cell.end("w0@2000", &start, RunOutcome::Stopped);
    assert_eq!(cell.starts().len(), 1);
}

/// Without a limit, the task would wait forever for a worker that doesn't answer.
#[test]
fn a_next_incarnation_that_never_answers_is_waited_for_as_long_as_a_lease_may_last() {
    let (mut cell, _) = restarted_after_an_unanswered_start();
    cell.now += Duration::from_secs(6);
    cell.report("w1@1000", &[], &[]);
    assert!(cell.starts().is_empty());
    cell.now += Duration::from_millis(300);
    cell.report("w1@1000", &[], &[]);
    assert_eq!(cell.starts().len(), 1);
}

/// The next incarnation answers before its entry is written. Until then the list still shows the earlier one.
#[test]
fn an_incarnation_that_answers_before_it_is_listed_is_renewed_but_not_used() {
    let mut cell = born_at_1000();
    cell.engine.worker_replaced(cell.clock(), "w0@1000", Some("w0@2000".to_owned()));
    cell.write();
    update_list(&mut cell, "w0@1000");
    assert_eq!(known_workers(&cell), ["w0@2000"]);
    cell.report("w0@2000", &[], &[]);
    cell.submit(1, "urgent", vec![step(1, 1)]);
    assert!(cell.starts().is_empty(), "its resources aren't known yet");
    update_list(&mut cell, "w0@2000");
    assert_eq!(cell.starts().len(), 1);
}

#[test]
fn an_entry_with_an_earlier_or_missing_birth_changes_nothing() {
    for entry in ["w0@999", "w0"] {
        let mut cell = born_at_1000();
        let written = cell.log.len();
        update_list(&mut cell, entry);
        cell.now += Duration::from_secs(4);
        cell.report("w0@1000", &[], &[]);
        update_list(&mut cell, entry);
        assert_eq!(known_workers(&cell), ["w0@1000"], "{entry}");
        assert_eq!(cell.log.len(), written, "{entry}: {:?}", &cell.log[written..]);
        cell.submit(1, "urgent", vec![step(1, 1)]);
        assert_eq!(cell.starts().len(), 1, "{entry}: the worker is still used");
    }
}

/// The platform, or the previous version of this program, reported no birth.
#[test]
fn a_run_on_a_worker_whose_birth_becomes_known_continues() {
    let mut before = Cell::new(1).ready();
    before.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = before.starts().remove(0);
    assert_eq!(worker, "w0");
    before.confirm_start(&worker, &start);
    before.report(&worker, &[running(&start)], &[]);

    let mut cell = Cell::from_log(1, 2, &before.log);
    update_list(&mut cell, "w0@1000");
    assert_eq!(known_workers(&cell), ["w0@1000"]);
    assert!(cell.starts().is_empty(), "the task may run there");
    cell.report("w0@1000", &[running(&start)], &[]);
    assert!(cell.plan().is_empty(), "neither started again nor stopped");

    let mut next = Cell::from_log(1, 3, &cell.log);
    update_list(&mut next, "w0@1000");
    assert_eq!(known_workers(&next), ["w0@1000"]);
    assert!(next.starts().is_empty(), "the log shows it, too");

    update_list(&mut before, "w0@1000");
    before.report("w0@1000", &[running(&start)], &[]);
    assert!(before.plan().iter().all(|action| matches!(action, Action::Forget(_))), "also under the same leader");
    assert_eq!(known_workers(&before), ["w0@1000"]);
}

#[test]
fn orders_of_an_earlier_leader_to_an_earlier_incarnation_are_waited_for_on_the_next() {
    let mut before = born_at_1000();
    before.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(before.starts().len(), 1);

    let mut cell = Cell::from_log(2, 2, &before.log);
    let other = cell.infos["w1"].clone();
    let info = cell.infos["w0"].clone();
    cell.infos = [("w0@2000".to_owned(), info), ("w1@1000".to_owned(), other)].into();
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report("w1@1000", &[], &[]);
    assert!(cell.starts().is_empty(), "the order may still reach the next incarnation");
    cell.report("w0@2000", &[], &[]);
    assert_eq!(cell.starts().len(), 1, "it doesn't accept orders of an earlier leader any more");
}

#[test]
fn a_ticket_for_an_earlier_incarnation_is_not_used_for_the_next() {
    let mut cell = born_at_1000();
    cell.submit(1, "advised", vec![step(1, 1)]);
    let find_question = |actions: Vec<Action>| {
        actions.into_iter().find_map(|action| match action {
            Action::Ask(question) => Some(question),
            _ => None,
        })
    };
    let question = find_question(cell.plan()).expect("a question");
    update_list(&mut cell, "w0@2000");
    cell.report("w0@2000", &[], &[]);
    let ticket = Ticket { text: "ticket".to_owned(), until: cell.now + Duration::from_secs(2) };
    cell.engine.advice_received(question.unit, &question.workers, vec![("w0@1000".to_owned(), ticket)]);
    let question = find_question(cell.plan()).expect("another question");
    assert_eq!(question.workers, ["w0@2000"]);
}

/// Limits of a cell whose workers accept longer leases than leaders grant.
fn limits() -> Limits {
    let max_lease = Duration::from_secs(10);
    Limits { max_lease, lease: sched::lease(max_lease), ..Limits::example() }
}

/// A cell of two workers, of which the first has restarted and runs job 1.
fn running_on_the_next_incarnation() -> Cell {
    let mut cell = Cell::with_limits(limits(), 2, 1, &[]);
    let incarnations = cell.infos.clone().into_iter().map(|(name, info)| (format!("{name}@1000"), info));
    cell.infos = incarnations.collect();
    let mut cell = cell.ready();
    cell.engine.worker_replaced(cell.clock(), "w0@1000", Some("w0@2000".to_owned()));
    let info = cell.infos.remove("w0@1000").expect("listed");
    cell.infos.insert("w0@2000".to_owned(), info);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report("w0@2000", &[], &[]);
    // The other one has no room.
    cell.submit(1, "urgent", vec![step(2, 16)]);
    assert_eq!(cell.starts().len(), 2);
    cell
}

/// The cell of the next leader, for which w0 is silent, after the leases that earlier leaders granted on purpose.
fn after_a_takeover(before: &Cell) -> Cell {
    let mut cell = Cell::with_limits(limits(), 3, 2, &before.log);
    let info = cell.infos["w2"].clone();
    cell.infos = [("w2@1000".to_owned(), info)].into();
    cell.engine.set_predecessor_leases(Duration::from_millis(7_300));
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report("w1@1000", &[], &[]);
    cell
}

/// Time until a task of job 1 starts again that was on w0.
fn restart_time(cell: &mut Cell) -> Duration {
    for _ in 0..200 {
        cell.now += Duration::from_millis(100);
        cell.report("w1@1000", &[], &[]);
        cell.report("w2@1000", &[], &[]);
        if cell.starts().iter().any(|(worker, start)| worker == "w2@1000" && start.task.index == 0) {
            return cell.now;
        }
    }
    panic!("never started again")
}

/// Guards against two runs of a task after a takeover: a renewal that was meant for the incarnation before gave the worker a
/// lease of 10 s, and the next leader, which had only the log, assumed one of 7 s.
#[test]
fn a_new_leader_waits_for_leases_that_were_meant_for_an_earlier_incarnation() {
    let mut cell = after_a_takeover(&running_on_the_next_incarnation());
    assert!(restart_time(&mut cell) > Duration::from_secs(10).mul_f64(1.02));
}

/// Guards against the same after the first contact of the new leader, whose lease counts from there.
#[test]
fn the_log_tells_which_workers_follow_an_earlier_incarnation() {
    let mut before = running_on_the_next_incarnation();
    let follows = |cell: &Cell| cell.engine.follows_earlier_incarnation("w0@2000");
    assert!(follows(&after_a_takeover(&before)));
    // Also when the part of the log with the earlier incarnation is removed.
    before.log.clear();
    before.rewrite_workers();
    before.write();
    assert!(follows(&after_a_takeover(&before)));
    // But not when such leases have certainly ended.
    before.now += Duration::from_secs(12 + 11);
    before.plan();
    before.log.clear();
    before.rewrite_workers();
    before.write();
    assert!(!follows(&after_a_takeover(&before)));
}

/// Guards against the same where the worker restarts again before anybody has heard from it.
#[test]
fn a_worker_that_restarted_twice_follows_an_earlier_incarnation() {
    let mut before = running_on_the_next_incarnation();
    before.engine.worker_replaced(before.clock(), "w0@2000", Some("w0@3000".to_owned()));
    before.write();
    assert!(after_a_takeover(&before).engine.follows_earlier_incarnation("w0@3000"));
}
