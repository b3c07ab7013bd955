//! Questions to the advice service: which workers they name, and when there is none to ask about.

use std::time::Duration;

use sched::{Action, Question, RunOutcome, Ticket};
use work::{Step, WorkerId};

use crate::cell::{Cell, step};

/// The only question of a planning pass.
fn question(cell: &mut Cell) -> Question {
    let actions = cell.plan();
    match actions.as_slice() {
        [Action::Ask(question)] => question.clone(),
        _ => panic!("expected one question: {actions:?}"),
    }
}

/// The advice service answers that `healthy` may run the unit.
fn advise(cell: &mut Cell, question: &Question, healthy: &[&str]) {
    let until = cell.now + question.validity;
    let ticket = |worker: &&str| ((*worker).to_owned(), Ticket { text: "t".to_owned(), until });
    let tickets = healthy.iter().map(ticket).collect();
    cell.engine.advice_received(question.unit, &question.workers, tickets);
}

/// All workers answer after all tickets have expired.
fn let_tickets_expire(cell: &mut Cell, running: &[(WorkerId, sched::Start)]) {
    cell.now += Duration::from_secs(3);
    let ids: Vec<WorkerId> = cell.infos.keys().cloned().collect();
    for id in ids {
        let there: Vec<_> =
            running.iter().filter(|(worker, _)| *worker == id).map(|(_, start)| crate::cell::running(start)).collect();
        cell.report(&id, &there, &[]);
    }
}

/// Asks the advice service about a step on twelve workers. It allows the first two that are named.
fn two_of_twelve(step: Step) -> (Cell, Vec<(WorkerId, sched::Start)>) {
    let mut cell = Cell::new(12).ready();
    cell.submit(1, "advised", vec![step]);
    let first = question(&mut cell);
    let allowed: Vec<&str> = first.workers.iter().take(2).map(String::as_str).collect();
    advise(&mut cell, &first, &allowed);
    let starts = cell.starts();
    starts.iter().for_each(|(worker, start)| cell.confirm_start(worker, start));
    (cell, starts)
}

#[test]
fn tasks_start_only_with_a_valid_ticket() {
    let mut cell = Cell::new(4).ready();
    cell.submit(1, "advised", vec![step(1, 1)]);
    let actions = cell.plan();
    let [Action::Ask(question)] = actions.as_slice() else { panic!("{actions:?}") };
    let until = cell.now + question.validity;
    let ticket = ("w2".to_owned(), Ticket { text: "t".to_owned(), until });
    cell.engine.advice_received(question.unit, &question.workers, vec![ticket.clone()]);
    cell.now = until;
    (0..4).for_each(|number| cell.report(&format!("w{number}"), &[], &[]));
    let actions = cell.plan();
    let [Action::Ask(again)] = actions.as_slice() else {
        panic!("the ticket has expired, so it must be asked for again: {actions:?}")
    };
    assert_eq!(again.workers, ["w2"], "the workers that may run it are known");
    let until = cell.now + again.validity;
    cell.engine.advice_received(again.unit, &again.workers, vec![("w2".to_owned(), Ticket { until, ..ticket.1 })]);
    let starts = cell.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!((starts[0].0.as_str(), starts[0].1.ticket.as_deref()), ("w2", Some("t")));
}

#[test]
fn a_worker_with_the_maximum_number_of_tasks_of_a_step_is_not_asked_about() {
    let (mut cell, starts) = two_of_twelve(Step { max_per_worker: 1, long_running: true, ..step(2, 1) });
    assert_eq!(starts.len(), 2);
    let ((lost, failed), kept) = (&starts[0], &starts[1]);
    cell.end(lost, failed, RunOutcome::Failed);
    cell.infos.get_mut(lost).expect("listed").draining = true;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    let_tickets_expire(&mut cell, std::slice::from_ref(kept));
    let next = question(&mut cell);
    assert!(!next.workers.contains(&kept.0), "its ticket would be of no use: {:?}", next.workers);
    assert!(!next.workers.is_empty());
    let other = next.workers[0].clone();
    advise(&mut cell, &next, &[&other]);
    assert_eq!(cell.starts().len(), 1, "the failed task starts again");
}

#[test]
fn more_workers_are_named_if_few_may_run_a_task() {
    let mut cell = Cell::new(40).ready();
    let mut named = Vec::new();
    for job in 1..=20 {
        cell.submit(job, "advised", vec![step(1, 1)]);
        let question = question(&mut cell);
        named.push(question.workers.len());
        cell.engine.advice_received(question.unit, &question.workers, Vec::new());
        cell.engine.cancel(cell.clock(), job);
        cell.write();
        cell.engine.take_actions();
    }
    assert_eq!(named[0], 8, "expects four in ten to be allowed at first");
    assert!(named[19] > 20, "none has been allowed so far: {named:?}");
}

/// If it takes 0.3 s from a decision to the worker's answer, a ticket that is valid for 0.2 s is of no use.
#[test]
fn a_ticket_must_be_valid_for_as_long_as_starts_take() {
    let mut cell = Cell::new(2).ready();
    let start_within = |cell: &mut Cell, job: u64, validity: Duration| {
        cell.submit(job, "advised", vec![step(1, 1)]);
        let question = question(cell);
        let ticket = Ticket { text: "t".to_owned(), until: cell.now + validity };
        let tickets = question.workers.iter().map(|worker| (worker.clone(), ticket.clone())).collect();
        cell.engine.advice_received(question.unit, &question.workers, tickets);
        cell.starts()
    };
    assert_eq!(start_within(&mut cell, 1, Duration::from_millis(200)).len(), 1, "the usual start time isn't known yet");
    for job in 2..10 {
        let starts = start_within(&mut cell, job, Duration::from_secs(2));
        cell.now += Duration::from_millis(300);
        ["w0", "w1"].iter().for_each(|worker| cell.report(worker, &[], &[]));
        for (worker, start) in &starts {
            cell.confirm_start(worker, start);
            cell.end(worker, start, RunOutcome::Done);
        }
    }
    assert!(start_within(&mut cell, 10, Duration::from_millis(200)).is_empty());
    assert_eq!(start_within(&mut cell, 11, Duration::from_secs(2)).len(), 1);
}
