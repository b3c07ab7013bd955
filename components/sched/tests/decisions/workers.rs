//! What the platform's list says of workers, and what that means for new work.

use work::Step;

use crate::cell::{Cell, step};

#[test]
fn a_leaving_worker_gets_nothing_new() {
    let mut cell = Cell::new(2).ready();
    cell.infos.get_mut("w0").expect("listed").draining = true;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.submit(1, "urgent", vec![step(4, 2)]);
    assert!(cell.starts().iter().all(|(worker, _)| worker == "w1"));
}

/// An entry at its address doesn't: it may be older than the worker that is there.
#[test]
fn another_life_that_answers_at_an_address_ends_the_earlier_one() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 1)]);
    assert_eq!(cell.starts().len(), 1);
    let info = cell.infos.remove("w0").expect("listed");
    cell.infos.insert("w0-again".to_owned(), info);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    cell.report("w0-again", &[], &[]);
    assert!(cell.starts().is_empty(), "the task may still run there");
    cell.engine.worker_replaced(cell.clock(), "w0", None);
    let starts = cell.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, "w0-again");
}

#[test]
fn a_worker_of_a_pool_that_no_queue_names_is_not_called() {
    let mut cell = Cell::new(2);
    cell.infos.get_mut("w1").expect("listed").pool = "nobody's".to_owned();
    let cell = cell.ready();
    let called: Vec<String> = cell.engine.addresses().into_iter().map(|(id, _)| id).collect();
    assert_eq!(called, ["w0"]);
}

#[test]
fn an_evacuated_worker_gets_nothing_new_until_that_is_taken_back() {
    let mut cell = Cell::new(2).ready();
    cell.submit(1, "urgent", vec![Step { max_per_worker: 1, ..step(2, 1) }]);
    let sent = cell.starts();
    let waiting = sent.iter().find(|(worker, _)| worker == "w0").expect("one each");
    cell.infos.get_mut("w0").expect("listed").evacuated = true;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert!(!cell.engine.is_start_wanted("w0", waiting.1.task, waiting.1.attempt), "not sent any more");
    cell.submit(2, "urgent", vec![step(8, 2)]);
    assert!(cell.starts().iter().all(|(worker, _)| worker == "w1"));
    cell.infos.get_mut("w0").expect("listed").evacuated = false;
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert!(cell.starts().iter().any(|(worker, _)| worker == "w0"));
}

#[test]
fn a_worker_whose_room_has_shrunk_gets_what_fits_into_the_rest() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 10)]);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    let room = |cores| model::Resources::new(cores, 64_000, 0);
    cell.infos.get_mut("w0").expect("listed").capacity = room(8);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.submit(2, "urgent", vec![step(2, 2)]);
    assert!(cell.starts().is_empty(), "what runs takes more than there is, and goes on");
    cell.infos.get_mut("w0").expect("listed").capacity = room(12);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert_eq!(cell.starts().len(), 1, "it has grown by one of them");
}

/// What users would see: a worker that doesn't guard its room has more running than it offers. A start is decided, and before its record is
/// written the list shows that the worker's room has shrunk.
#[test]
fn a_start_that_does_not_fit_any_more_is_not_sent() {
    let mut cell = Cell::new(1).ready();
    cell.submit(1, "urgent", vec![step(1, 6)]);
    let (worker, start) = cell.starts().remove(0);
    cell.started(&worker, &start);
    cell.submit(2, "urgent", vec![step(1, 6)]);
    cell.engine.plan(cell.clock());
    let room = |cores| model::Resources::new(cores, 64_000, 0);
    cell.infos.get_mut("w0").expect("listed").capacity = room(8);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    cell.write();
    assert!(cell.engine.take_actions().is_empty(), "12 cores of 8");
    assert!(cell.starts().is_empty());
    cell.infos.get_mut("w0").expect("listed").capacity = room(16);
    cell.engine.update_workers(cell.clock(), cell.infos.clone());
    assert_eq!(cell.starts().len(), 1);
}

/// The same while a start waits for its turn among the orders to its worker.
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
