//! Workloads that compete for workers: preemption by urgent tasks, gangs and team quotas.

mod support;

use std::collections::BTreeSet;

use support::{Cell, batch, wait_until};

fn running(cell: &Cell, workload: &str) -> usize {
    let tasks = cell.workers.iter().flat_map(|(_, worker)| worker.running());
    tasks.filter(|task| task.workload == workload).count()
}

fn workload_plan(name: &str, kind: &str, priority: &str, tasks: u32, processors: u32, run: &str) -> String {
    batch(name, tasks, processors, run).replace("kind: batch", &format!("kind: {kind}, priority: {priority}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_tasks_preempt_no_more_patient_tasks_than_needed_and_those_run_again() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &workload_plan("menus", "batch", "patient", 24, 1, "run 10m")).await;
    wait_until("the cell is full", || async { running(&cell, "menus") == 24 }).await;
    cell.submit(0, &workload_plan("rush", "batch", "urgent", 3, 4, "run 3s")).await;
    wait_until("the urgent tasks run", || async { running(&cell, "rush") == 3 }).await;
    assert_eq!(running(&cell, "menus"), 12);
    wait_until("all patient tasks run again", || async { running(&cell, "menus") == 24 }).await;
    assert_eq!(cell.running_twice(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn normal_tasks_preempt_nothing() {
    let cell = Cell::start(&[("gt-1", 1, 2)]).await;
    cell.submit(0, &workload_plan("menus", "batch", "patient", 16, 1, "run 10m")).await;
    wait_until("the cell is full", || async { running(&cell, "menus") == 16 }).await;
    cell.submit(0, &workload_plan("other", "batch", "normal", 2, 1, "run 1s")).await;
    wait_until("the explanation says that no worker has room", || async {
        let reasons = cell.rows(0, "why workload other").await;
        reasons.len() == 2 && reasons.iter().all(|row| row[1].starts_with("no worker has room now"))
    })
    .await;
    assert_eq!(running(&cell, "menus"), 16);
    assert_eq!(cell.started_more_than_once(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_starts_only_when_there_is_room_for_all_its_tasks() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &workload_plan("filler", "batch", "normal", 16, 1, "run 2s")).await;
    wait_until("the filler tasks run", || async { running(&cell, "filler") == 16 }).await;
    // There is room for only four of the six tasks at this point.
    cell.submit(0, &workload_plan("gang", "gang", "normal", 6, 2, "run 10m")).await;
    wait_until("the explanation says that the gang must start together", || async {
        let reasons = cell.rows(0, "why workload gang").await;
        let all_wait = reasons.iter().all(|row| row[1].starts_with("all 6 tasks must start together"));
        assert_eq!(running(&cell, "gang"), 0);
        reasons.len() == 6 && all_wait
    })
    .await;
    wait_until("all tasks run", || async { running(&cell, "gang") == 6 }).await;
    assert_eq!(cell.started_more_than_once(), []);
    cell.assert_never_overcommitted();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_that_lost_a_worker_restarts_all_its_tasks() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, &workload_plan("gang", "gang", "normal", 6, 2, "run 10m")).await;
    wait_until("all tasks run", || async { running(&cell, "gang") == 6 }).await;
    let (_, worker) = cell.workers.iter().max_by_key(|(_, worker)| worker.running().len()).expect("workers");
    worker.restart_empty();
    wait_until("all tasks run again", || async {
        running(&cell, "gang") == 6 && cell.started_more_than_once().len() == 6
    })
    .await;
    assert_eq!(cell.running_twice(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_teams_quota_holds_across_the_hosts_of_a_data_centre() {
    let cell = Cell::start(&[("gt-1", 3, 3)]).await;
    cell.execute(0, "change team rail set processors = 4").await;
    for host in 0..3 {
        cell.wait_for_rows(host, "show teams where team = rail", 1).await;
    }
    let mut names = BTreeSet::new();
    for index in 0..6 {
        let name = format!("job-{index}");
        cell.submit(index % 3, &batch(&name, 4, 1, "run 200ms")).await;
        names.insert(name);
    }
    cell.wait_for_rows(0, "show tasks where state = finished", 24).await;
    cell.submit(0, &batch("large", 1, 5, "run 1s")).await;
    wait_until("the explanation says that the quota is used up", || async {
        let reasons = cell.rows(0, "why workload large").await;
        reasons.iter().any(|row| row[1].starts_with("team rail has used up its quota"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workload_that_can_never_run_is_rejected_with_the_largest_worker() {
    let cell = Cell::start(&[("gt-1", 1, 1)]).await;
    let refused = cell
        .try_execute(0, "submit plan.yaml", Some(&batch("huge", 1, 20, "run 1s")))
        .await
        .expect("a response from the host");
    assert_eq!(refused.status, api::Status::NotDone);
    assert_eq!(
        refused.message,
        "workload huge: can never run: largest worker gt-1-w0 has 8 cores, 32768 MiB, asked 20 cores, 1024 MiB"
    );
}
