//! Workers fall silent, restart, leave and fail.

mod support;

use std::collections::BTreeSet;

use fakes::WorkerFault;
use model::Resources;
use support::{CORES, Cell, SERVICE, batch, listed, until};

fn running_on(cell: &Cell, worker: &str) -> usize {
    cell.worker(worker).running().len()
}

fn running(cell: &Cell) -> usize {
    cell.workers.iter().map(|(_, worker)| worker.running().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_tasks_of_a_silent_worker_run_elsewhere_only_after_their_leases() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &batch("long", 12, 1, "run 10m")).await;
    until("all run", || async { running(&cell) == 12 }).await;
    let (silent, worker) = cell.workers.iter().max_by_key(|(_, worker)| worker.running().len()).expect("workers");
    worker.set_fault(WorkerFault::Unresponsive);
    // At every look: never in two places, also while the silent worker's own leases run out.
    until("all run elsewhere", || async {
        assert_eq!(cell.doubled(), []);
        running_on(&cell, silent) == 0 && running(&cell) == 12
    })
    .await;
    worker.set_fault(WorkerFault::None);
    cell.until_rows(0, "show workers where state = live", 3).await;
    assert_eq!(cell.doubled(), []);
    cell.until_rows(0, "show tasks where state = running", 12).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_tasks_of_a_worker_restarted_empty_start_again() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    cell.submit(0, &batch("long", 8, 1, "run 10m")).await;
    until("all run", || async { running(&cell) == 8 }).await;
    let (_, worker) = cell.workers.iter().max_by_key(|(_, worker)| worker.running().len()).expect("workers");
    worker.restart_empty();
    until("all run again", || async { running(&cell) == 8 }).await;
    assert_eq!(cell.doubled(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_is_emptied_and_gets_nothing_new() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, SERVICE).await;
    cell.submit(0, &batch("long", 6, 1, "run 10m")).await;
    until("all run", || async { running(&cell) == 10 }).await;
    let (name, worker) = cell.workers.iter().max_by_key(|(_, worker)| worker.running().len()).expect("workers");
    let capacity = Resources::new(CORES, CORES * 4096, 0);
    cell.platform.add_host(listed(name, "gt-1", 0, worker.address(), capacity, true));
    until("it is empty", || async { worker.running().is_empty() }).await;
    until("all run elsewhere", || async { running(&cell) == 10 }).await;
    let started = worker.starts().len();
    cell.submit(0, &batch("more", 4, 1, "run 10m")).await;
    until("the new work runs", || async { running(&cell) == 14 }).await;
    assert_eq!(worker.starts().len(), started);
    assert_eq!(cell.doubled(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_worker_is_emptied_and_a_restored_one_used_again() {
    let cell = Cell::start(&[("gt-1", 1, 2)]).await;
    cell.submit(0, &batch("long", 8, 1, "run 10m")).await;
    until("all run", || async { running(&cell) == 8 }).await;
    cell.execute(0, "drain worker gt-1-w0").await;
    until("it is empty", || async { running_on(&cell, "gt-1-w0") == 0 && running(&cell) == 8 }).await;
    cell.execute(0, "restore worker gt-1-w0").await;
    cell.submit(0, &batch("more", 8, 1, "run 10m")).await;
    until("it is used again", || async { running_on(&cell, "gt-1-w0") == 8 }).await;
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_everything_is_found_out_and_the_work_gets_done() {
    let cell = Cell::start(&[("gt-1", 2, 4)]).await;
    cell.worker("gt-1-w0").set_fault(WorkerFault::FailAllTasks);
    for name in ["a", "b", "c", "d", "e"] {
        cell.submit(0, &batch(name, 6, 1, "run 100ms")).await;
    }
    cell.until_rows(0, "show tasks where state = finished", 30).await;
    cell.until_rows(0, "show workers where worker = gt-1-w0 and state = probation", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workload_that_fails_everywhere_does_not_bring_workers_into_doubt() {
    let cell = Cell::start(&[("gt-1", 1, 3)]).await;
    cell.submit(0, &batch("broken", 2, 1, "fail")).await;
    cell.submit(0, &batch("good", 6, 1, "run 100ms")).await;
    cell.until_rows(0, "show tasks where state = finished", 6).await;
    let failed: BTreeSet<String> =
        cell.workers.iter().filter(|(_, worker)| !worker.starts().is_empty()).map(|(name, _)| name.clone()).collect();
    assert!(!failed.is_empty());
    cell.until_rows(0, "show workers where state = live", 3).await;
}
