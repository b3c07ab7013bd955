//! How entries in the platform's list of workers affect the placement of new tasks.

use work::Step;

use crate::cell::{Cell, step};

#[test]
fn a_draining_worker_gets_no_new_tasks() {
    let mut cell = Cell::new(2).ready();
    cell.infos.get_mut("w0").expect("listed").draining = true;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.submit(1, "urgent", vec![step(4, 2)]);
    assert!(cell.starts().iter().all(|(worker, _)| worker == "w1"));
}

/// An entry at the same address doesn't end it: the entry may be older than the worker that is there.
#[test]
fn another_incarnation_that_answers_at_an_address_ends_the_earlier_one() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(cell.starts().len(), 1);
    let info = cell.infos.remove("w0").expect("listed");
    cell.infos.insert("w0-again".to_owned(), info);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report("w0-again", &[], &[]);
    assert!(cell.starts().is_empty(), "the task may still run on w0");
    cell.engine.worker_replaced(cell.clock(), "w0", None);
    let starts = cell.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, "w0-again");
}

#[test]
fn a_worker_of_a_pool_without_queues_is_not_contacted() {
    let mut cell = Cell::new(2);
    cell.infos.get_mut("w1").expect("listed").pool = "nobody's".to_owned();
    let cell = cell.ready();
    let contacted: Vec<String> = cell.engine.addresses().into_iter().map(|(id, _)| id).collect();
    assert_eq!(contacted, ["w0"]);
}

#[test]
fn an_evacuated_worker_gets_no_new_tasks_until_the_evacuation_ends() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { max_per_worker: 1, ..step(2, 1) }]);
    let starts = cell.starts();
    let waiting = starts.iter().find(|(worker, _)| worker == "w0").expect("one task on each worker");
    cell.infos.get_mut("w0").expect("listed").evacuated = true;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert!(!cell.engine.is_start_wanted("w0", waiting.1.task, waiting.1.attempt), "its start isn't sent any more");
    cell.submit(2, "urgent", vec![step(8, 2)]);
    assert!(cell.starts().iter().all(|(worker, _)| worker == "w1"));
    cell.infos.get_mut("w0").expect("listed").evacuated = false;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert!(cell.starts().iter().any(|(worker, _)| worker == "w0"));
}

#[test]
fn a_worker_whose_capacity_has_shrunk_gets_what_fits_into_the_rest() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 10)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    let room = |cores| model::Resources::new(cores, 64_000, 0);
    cell.infos.get_mut("w0").expect("listed").capacity = room(8);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.submit(2, "urgent", vec![step(2, 2)]);
    assert!(cell.starts().is_empty(), "the run uses more than the worker offers now, and continues");
    cell.infos.get_mut("w0").expect("listed").capacity = room(12);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert_eq!(cell.starts().len(), 1, "there is room for one more task");
}

/// Guards against overloading a worker that doesn't enforce its own limits: a start is decided, and before its record
/// is written the list shows that the worker has less room.
#[test]
fn a_start_that_does_not_fit_any_more_is_not_sent() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 6)]);
    let (worker, start) = cell.starts().remove(0);
    cell.confirm_start(&worker, &start);
    cell.submit(2, "urgent", vec![step(1, 6)]);
    cell.engine.plan(cell.clock());
    let room = |cores| model::Resources::new(cores, 64_000, 0);
    cell.infos.get_mut("w0").expect("listed").capacity = room(8);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    assert!(cell.engine.take_actions().is_empty(), "12 of 8 cores");
    assert!(cell.starts().is_empty());
    cell.infos.get_mut("w0").expect("listed").capacity = room(16);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert_eq!(cell.starts().len(), 1);
}

/// The same while a start waits in the queue of orders to its worker.
#[test]
fn a_start_that_waits_to_be_sent_is_dropped_when_it_does_not_fit_any_more() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 12)]);
    let (worker, start) = cell.starts().remove(0);
    assert!(cell.engine.is_start_wanted(&worker, start.task, start.attempt));
    cell.infos.get_mut("w0").expect("listed").capacity = model::Resources::new(8, 64_000, 0);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert!(!cell.engine.is_start_wanted(&worker, start.task, start.attempt));
}
