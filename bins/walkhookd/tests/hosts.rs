//! Entry hosts die, freeze and are replaced while work runs.

mod support;

use std::collections::BTreeSet;

use model::task::Id;
use support::{Cell, SERVICE, batch, until};

async fn running(cell: &Cell) -> BTreeSet<Id> {
    cell.workers.iter().flat_map(|(_, worker)| worker.running()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_hosts_work_goes_on_and_its_workers_take_new_work() {
    let mut cell = Cell::start(&[("gt-1", 3, 4)]).await;
    cell.submit(0, &batch("long", 12, 1, "run 10m")).await;
    until("all run", || async { running(&cell).await.len() == 12 }).await;

    cell.hosts[1].kill();
    cell.until_rows(0, "show workers where state = live and holder != gt-1-e1", 4).await;
    cell.submit(0, &batch("more", 12, 1, "run 10m")).await;
    until("old and new run", || async { running(&cell).await.len() == 24 }).await;
    assert_eq!(cell.started_again(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_frozen_past_every_lease_wakes_without_running_anything_twice() {
    let cell = Cell::start(&[("gt-1", 3, 3)]).await;
    cell.submit(0, &batch("long", 9, 1, "run 10m")).await;
    until("all run", || async { running(&cell).await.len() == 9 }).await;

    cell.hosts[2].freeze();
    cell.until_rows(0, "show workers where state = live and holder != gt-1-e2", 3).await;
    cell.submit(0, &batch("more", 9, 1, "run 10m")).await;
    until("old and new run", || async { running(&cell).await.len() == 18 }).await;
    cell.hosts[2].thaw();
    cell.until_rows(0, "show hosts where state = live", 2).await;
    cell.submit(2, &batch("last", 6, 1, "run 10m")).await;
    until("all run", || async { running(&cell).await.len() == 24 }).await;
    assert_eq!(cell.doubled(), []);
    assert_eq!(cell.started_again(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn all_hosts_killed_at_once_come_back_to_the_work_as_it_is() {
    let mut cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, SERVICE).await;
    cell.submit(0, &batch("long", 6, 1, "run 10m")).await;
    until("all run", || async { running(&cell).await.len() == 10 }).await;
    for host in &mut cell.hosts {
        host.kill();
    }
    for host in &mut cell.hosts {
        host.restart();
    }
    cell.until_rows(0, "show tasks where state = running", 10).await;
    assert_eq!(cell.started_again(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_everything_over_and_exits_with_zero() {
    let mut cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &batch("long", 6, 1, "run 10m")).await;
    until("all run", || async { running(&cell).await.len() == 6 }).await;
    assert_eq!(cell.hosts[1].stop().await, Some(0));
    cell.until_rows(0, "show workers where state = live and holder = gt-1-e0", 3).await;
    cell.until_rows(0, "show tasks where state = running", 6).await;
    assert_eq!(cell.started_again(), []);
}
