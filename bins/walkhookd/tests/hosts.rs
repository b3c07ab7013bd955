//! Entry hosts that are killed, suspended, restarted or stopped while tasks run.

mod support;

use std::collections::BTreeSet;

use model::task::Id;
use support::{Cell, SERVICE, batch, wait_until};

async fn running(cell: &Cell) -> BTreeSet<Id> {
    cell.workers.iter().flat_map(|(_, worker)| worker.running()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn after_a_host_is_killed_its_tasks_keep_running_and_its_workers_get_new_tasks() {
    let mut cell = Cell::start(&[("gt-1", 3, 4)]).await;
    cell.submit(0, &batch("long", 12, 1, "run 10m")).await;
    wait_until("all tasks run", || async { running(&cell).await.len() == 12 }).await;

    cell.hosts[1].kill();
    cell.wait_for_rows(0, "show workers where state = live and holder != gt-1-e1", 4).await;
    cell.submit(0, &batch("more", 12, 1, "run 10m")).await;
    wait_until("the old and the new tasks run", || async { running(&cell).await.len() == 24 }).await;
    assert_eq!(cell.started_more_than_once(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_suspended_beyond_its_leases_resumes_without_running_a_task_twice() {
    let cell = Cell::start(&[("gt-1", 3, 3)]).await;
    cell.submit(0, &batch("long", 9, 1, "run 10m")).await;
    wait_until("all tasks run", || async { running(&cell).await.len() == 9 }).await;

    cell.hosts[2].pause();
    cell.wait_for_rows(0, "show workers where state = live and holder != gt-1-e2", 3).await;
    cell.submit(0, &batch("more", 9, 1, "run 10m")).await;
    wait_until("the old and the new tasks run", || async { running(&cell).await.len() == 18 }).await;
    cell.hosts[2].resume();
    cell.wait_for_rows(0, "show hosts where state = live", 2).await;
    cell.submit(2, &batch("last", 6, 1, "run 10m")).await;
    wait_until("all tasks run", || async { running(&cell).await.len() == 24 }).await;
    assert_eq!(cell.running_twice(), []);
    assert_eq!(cell.started_more_than_once(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_that_were_all_killed_at_once_resume_the_running_tasks() {
    let mut cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, SERVICE).await;
    cell.submit(0, &batch("long", 6, 1, "run 10m")).await;
    wait_until("all tasks run", || async { running(&cell).await.len() == 10 }).await;
    for host in &mut cell.hosts {
        host.kill();
    }
    for host in &mut cell.hosts {
        host.restart();
    }
    cell.wait_for_rows(0, "show tasks where state = running", 10).await;
    assert_eq!(cell.started_more_than_once(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_hands_all_workers_over_and_exits_with_0() {
    let mut cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &batch("long", 6, 1, "run 10m")).await;
    wait_until("all tasks run", || async { running(&cell).await.len() == 6 }).await;
    assert_eq!(cell.hosts[1].stop().await, Some(0));
    cell.wait_for_rows(0, "show workers where state = live and holder = gt-1-e0", 3).await;
    cell.wait_for_rows(0, "show tasks where state = running", 6).await;
    assert_eq!(cell.started_more_than_once(), []);
}
