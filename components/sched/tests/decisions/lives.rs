//! Lives of a worker that follow one another under its name, where the platform tells when each was born.
//!
//! What users would see: a task that runs twice at the same time. In the order of events: a start is sent and gets no answer; its worker
//! goes down and is back under its name; the leader learns of that and starts the task elsewhere; the order, which names the worker and
//! not its life, is carried out by the next one.

use std::time::Duration;

use sched::{Action, OrderOutcome, Start};

use crate::cell::{Cell, step};

/// A cell of two workers, of which the first gives no answer to a start of job 1 and is then back as another life.
fn back_after_an_unanswered_start() -> (Cell, Start) {
    let mut cell = Cell::new(2);
    let lives = cell.infos.clone().into_iter().map(|(name, info)| (format!("{name}@1000"), info));
    cell.infos = lives.collect();
    let mut cell = cell.ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    let (worker, start) = cell.starts().remove(0);
    assert_eq!(worker, "w0@1000");
    cell.engine.ordered(cell.clock(), &worker, start.task, start.attempt, OrderOutcome::Unknown);
    cell.now += Duration::from_millis(500);
    let info = cell.infos.remove(&worker).expect("listed");
    cell.infos.insert("w0@2000".to_owned(), info);
    cell.engine.list(cell.clock(), cell.infos.clone());
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
    cell.engine.stopped("w0@2000", start.task, start.attempt);
    cell.report("w0@2000", &[], &[]);
    assert_eq!(cell.starts().len(), 1, "it is refused from now on");
}
