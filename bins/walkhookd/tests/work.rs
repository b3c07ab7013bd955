//! Kinds of work against each other: urgent work on a full cell, gangs, quotas.

mod support;

use std::collections::BTreeSet;

use support::{Cell, batch, until};

fn running(cell: &Cell, workload: &str) -> usize {
    let all = cell.workers.iter().flat_map(|(_, worker)| worker.running());
    all.filter(|task| task.workload == workload).count()
}

fn plan(name: &str, kind: &str, priority: &str, tasks: u32, processors: u32, run: &str) -> String {
    batch(name, tasks, processors, run).replace("kind: batch", &format!("kind: {kind}, priority: {priority}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_on_a_full_cell_stops_no_more_patient_work_than_it_needs_and_that_runs_again() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &plan("menus", "batch", "patient", 24, 1, "run 10m")).await;
    until("the cell is full", || async { running(&cell, "menus") == 24 }).await;
    cell.submit(0, &plan("rush", "batch", "urgent", 3, 4, "run 3s")).await;
    until("urgent work runs", || async { running(&cell, "rush") == 3 }).await;
    assert_eq!(running(&cell, "menus"), 12);
    until("all patient work runs again", || async { running(&cell, "menus") == 24 }).await;
    assert_eq!(cell.doubled(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn normal_work_stops_nobody() {
    let cell = Cell::start(&[("gt-1", 1, 2)]).await;
    cell.submit(0, &plan("menus", "batch", "patient", 16, 1, "run 10m")).await;
    until("the cell is full", || async { running(&cell, "menus") == 16 }).await;
    cell.submit(0, &plan("other", "batch", "normal", 2, 1, "run 1s")).await;
    until("it says that it waits for room", || async {
        let why = cell.rows(0, "why workload other").await;
        why.len() == 2 && why.iter().all(|row| row[1].starts_with("no worker has room now"))
    })
    .await;
    assert_eq!(running(&cell, "menus"), 16);
    assert_eq!(cell.started_again(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_starts_whole_when_there_is_room_for_all() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &plan("filler", "batch", "normal", 16, 1, "run 2s")).await;
    until("the filler runs", || async { running(&cell, "filler") == 16 }).await;
    // Room for four of six now.
    cell.submit(0, &plan("gang", "gang", "normal", 6, 2, "run 10m")).await;
    until("it says what it waits for", || async {
        let why = cell.rows(0, "why workload gang").await;
        let waits = why.iter().all(|row| row[1].starts_with("all 6 tasks must start together"));
        assert_eq!(running(&cell, "gang"), 0);
        why.len() == 6 && waits
    })
    .await;
    until("all run", || async { running(&cell, "gang") == 6 }).await;
    assert_eq!(cell.started_again(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_that_lost_a_worker_starts_again_whole() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &plan("gang", "gang", "normal", 6, 2, "run 10m")).await;
    until("all run", || async { running(&cell, "gang") == 6 }).await;
    let (_, worker) = cell.workers.iter().max_by_key(|(_, worker)| worker.running().len()).expect("workers");
    worker.restart_empty();
    until("all run again", || async { running(&cell, "gang") == 6 && cell.started_again().len() == 6 }).await;
    assert_eq!(cell.doubled(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_teams_quota_holds_across_the_hosts_of_a_data_centre() {
    let cell = Cell::start(&[("gt-1", 3, 3)]).await;
    cell.execute(0, "change team rail set processors = 4").await;
    for host in 0..3 {
        cell.until_rows(host, "show teams where team = rail", 1).await;
    }
    let mut names = BTreeSet::new();
    for at in 0..6 {
        let name = format!("job-{at}");
        cell.submit(at % 3, &batch(&name, 4, 1, "run 200ms")).await;
        names.insert(name);
    }
    cell.until_rows(0, "show tasks where state = finished", 24).await;
    cell.submit(0, &batch("large", 1, 5, "run 1s")).await;
    until("it says that the quota is too small", || async {
        let why = cell.rows(0, "why workload large").await;
        why.iter().any(|row| row[1].starts_with("team rail has used up its quota"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_can_never_run_is_refused_with_the_nearest_miss() {
    let cell = Cell::start(&[("gt-1", 1, 1)]).await;
    let refused = cell.ask(0, "submit plan.yaml", Some(&batch("huge", 1, 20, "run 1s"))).await.expect("an answer");
    assert_eq!(refused.status, api::Status::NotDone);
    assert_eq!(
        refused.message,
        "workload huge: can never run: largest worker gt-1-w0 has 8 cores, 32768 MiB, asked 20 cores, 1024 MiB"
    );
}
