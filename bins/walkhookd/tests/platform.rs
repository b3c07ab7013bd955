//! Outages of the platform, lost responses, a compacted history, slow responses, and operators who change the same
//! workload at the same time.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use api::Status;
use fakes::{Control, Platform, any_port};
use support::{Cell, FAST_TIMINGS, SERVICE, batch, wait_until};
use uuid::Uuid;

/// Number of workloads that is large enough for each partition to have one.
const WORKLOADS: usize = 8;
/// Longer than the largest gap between two checks of an owner's authority, `dead_after`.
const LONG_PAUSE: Duration = Duration::from_millis(1500);

/// Submits workloads of one task each to all partitions.
async fn submit_to_all_partitions(cell: &Cell, name: &str) {
    for number in 0..WORKLOADS {
        cell.submit(0, &batch(&format!("{name}-{number}"), 1, 1, "run 10m")).await;
    }
}

/// Kills host 1, and starts tasks in all partitions, which host 0 owns then. Returns the number of tasks.
async fn leave_all_partitions_to_host_0(cell: &mut Cell) -> usize {
    cell.hosts[1].kill();
    submit_to_all_partitions(cell, "long").await;
    cell.wait_for_rows(0, "show tasks where state = running", WORKLOADS).await;
    WORKLOADS
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_platform_outage_requests_are_served_and_new_workloads_are_not_accepted() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, SERVICE).await;
    wait_until("slot checks are answered", || async {
        cell.call(0, "/slots/1", None).await.is_some_and(|response| response.status == 200)
    })
    .await;
    cell.platform.control(Control { down: true, ..Control::default() });
    let refused =
        cell.try_execute(1, "submit plan.yaml", Some(&batch("late", 2, 1, "run 1s"))).await.expect("a response");
    assert_ne!(refused.status, Status::Done);
    for round in 0..20 {
        let response = cell.call(round % 2, "/slots/1", None).await.expect("a response");
        assert_eq!(response.status, 200);
    }
    cell.platform.control(Control::default());
    if refused.status == Status::NotDone {
        cell.wait_for_rows(0, "show workloads where workload = late", 0).await;
    }
    wait_until("workloads are accepted again", || async {
        let outcome = cell.try_execute(0, "submit plan.yaml", Some(&batch("after", 2, 1, "run 100ms"))).await;
        outcome.is_some_and(|outcome| outcome.status == Status::Done)
    })
    .await;
    cell.wait_for_rows(0, "show tasks where task = after.gt-1.0 and state = finished", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_whose_platform_response_is_lost_is_carried_out_once() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    cell.platform.control(Control { lose_answers: 1, ..Control::default() });
    let command = Uuid::new_v4();
    let plan = batch("once", 4, 1, "run 100ms");
    let first = cell.send_command(0, command, "submit plan.yaml", Some(&plan)).await.expect("a response");
    assert_eq!(first.status, Status::Done, "the command took effect, and the host found that out: {}", first.message);
    let again = cell.send_command(1, command, "submit plan.yaml", Some(&plan)).await.expect("a response");
    assert_eq!(again.status, Status::Done, "{}", again.message);
    cell.wait_for_rows(0, "show tasks where state = finished", 4).await;
    assert!(cell.start_counts().values().all(|count| *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_command_repeated_while_its_workload_runs_is_reported_as_done() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    let command = Uuid::new_v4();
    let plan = batch("once", 4, 1, "run 10m");
    let first = cell.send_command(0, command, "submit plan.yaml", Some(&plan)).await.expect("a response");
    assert_eq!(first.status, Status::Done, "{}", first.message);
    cell.wait_for_rows(1, "show tasks where state = running", 4).await;
    let again = cell.send_command(1, command, "submit plan.yaml", Some(&plan)).await.expect("a response");
    assert_eq!((again.status, again.message), (first.status, first.message));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_conditional_changes_exactly_one_succeeds() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, SERVICE).await;
    cell.wait_for_rows(1, "show workloads", 1).await;
    let revision = cell.rows(0, "show workloads").await[0][8].clone();
    let change = |count: u32| format!("change workload planner set instances = {count} if revision = {revision}");
    let (three, five) = (change(3), change(5));
    let (first, second) = tokio::join!(cell.try_execute(0, &three, None), cell.try_execute(1, &five, None));
    let (first, second) = (first.expect("a response"), second.expect("a response"));
    let succeeded = |outcome: &api::Outcome| outcome.status == Status::Done;
    assert!(succeeded(&first) != succeeded(&second), "{first:?} {second:?}");
    let loser = if succeeded(&first) { &second } else { &first };
    assert_eq!(loser.status, Status::NotDone);
    assert!(loser.message.contains("changed by command"), "{}", loser.message);
    let expected = if succeeded(&first) { "3" } else { "5" };
    for host in 0..2 {
        cell.wait_for_rows(host, &format!("show workloads where instances = {expected}"), 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_configuration_reaches_every_host_and_never_reverts() {
    let mut cell = Cell::start(&[("gt-1", 2, 2), ("gt-2", 2, 2)]).await;
    cell.submit(0, SERVICE).await;
    for count in [6, 7, 8] {
        cell.execute(3, &format!("change workload planner set instances = {count}")).await;
        for host in 0..4 {
            cell.wait_for_rows(host, &format!("show workloads where instances = {count}"), 1).await;
        }
    }
    cell.platform.control(Control { compact: true, ..Control::default() });
    cell.hosts[1].kill();
    cell.hosts[1].restart();
    cell.wait_until_ready(1).await;
    cell.wait_for_rows(1, "show workloads where instances = 8", 1).await;
    cell.execute(1, "change workload planner set instances = 9").await;
    for host in 0..4 {
        cell.wait_for_rows(host, "show workloads where instances = 9", 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_started_in_a_platform_outage_gets_the_configuration_from_its_peers() {
    let mut cell = Cell::start(&[("gt-1", 2, 2), ("gt-2", 1, 1)]).await;
    cell.submit(0, SERVICE).await;
    cell.wait_for_rows(2, "show workloads", 1).await;
    cell.platform.control(Control { down: true, ..Control::default() });
    cell.hosts[1].kill();
    cell.hosts[1].restart();
    cell.wait_for_rows(1, "show workloads", 1).await;
    cell.wait_until_ready(1).await;
    wait_until("slot checks are answered", || async {
        cell.call(1, "/slots/1", None).await.is_some_and(|response| response.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_cut_off_from_the_platform_heals_its_instances_and_hears_of_changes() {
    let platform = Platform::start(any_port()).await.expect("a free port");
    let endpoints = BTreeMap::from([("gt-2", platform.add_endpoint().await.expect("a free port"))]);
    let cell = Cell::start_with_platform(platform, &[("gt-1", 1, 2), ("gt-2", 2, 3)], FAST_TIMINGS, &endpoints).await;
    cell.submit(0, SERVICE).await;
    let running = || {
        let workers = cell.workers.iter().filter(|(name, _)| name.starts_with("gt-2"));
        workers.map(|(_, worker)| worker.running().len()).sum::<usize>()
    };
    wait_until("its instances run", || async { running() == 2 }).await;
    endpoints["gt-2"].set_cut_off(true);
    let (_, busy) = cell
        .workers
        .iter()
        .filter(|(name, _)| name.starts_with("gt-2"))
        .max_by_key(|(_, worker)| worker.running().len())
        .expect("workers");
    busy.restart_empty();
    wait_until("its instances run again", || async { running() == 2 }).await;
    cell.execute(0, "change workload planner set instances = 8").await;
    wait_until("the change is in force beyond the cut", || async { running() == 4 }).await;
    wait_until("slot checks are answered", || async {
        cell.call(1, "/slots/1", None).await.is_some_and(|response| response.status == 200)
    })
    .await;
    let refused = cell.try_execute(1, "cancel workload planner", None).await.expect("a response");
    assert_ne!(refused.status, Status::Done);
    endpoints["gt-2"].set_cut_off(false);
    wait_until("the host accepts changes again", || async {
        let outcome = cell.try_execute(1, "change workload planner set instances = 6", None).await;
        outcome.is_some_and(|outcome| outcome.status == Status::Done)
    })
    .await;
    assert_eq!(cell.running_twice(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_paused_in_a_platform_outage_acts_again() {
    let platform = Platform::start(any_port()).await.expect("a free port");
    let endpoints = BTreeMap::from([("gt-1", platform.add_endpoint().await.expect("a free port"))]);
    let cell = Cell::start_with_platform(platform, &[("gt-1", 1, 2)], FAST_TIMINGS, &endpoints).await;
    cell.submit(0, SERVICE).await;
    cell.wait_for_rows(0, "show tasks where state = running", 4).await;
    endpoints["gt-1"].set_cut_off(true);
    cell.hosts[0].pause();
    tokio::time::sleep(LONG_PAUSE).await;
    cell.hosts[0].resume();
    cell.workers.iter().for_each(|(_, worker)| worker.restart_empty());
    wait_until("the instances run again", || async {
        cell.workers.iter().map(|(_, worker)| worker.running().len()).sum::<usize>() == 4
    })
    .await;
    assert_eq!(cell.running_twice(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partition_whose_release_cannot_be_written_keeps_its_owner() {
    let platform = Platform::start(any_port()).await.expect("a free port");
    let endpoints = BTreeMap::from([("gt-1", platform.add_endpoint().await.expect("a free port"))]);
    let mut cell = Cell::start_with_platform(platform, &[("gt-1", 2, 3)], FAST_TIMINGS, &endpoints).await;
    let tasks = leave_all_partitions_to_host_0(&mut cell).await;
    cell.hosts[1].restart();
    cell.wait_until_ready(1).await;
    endpoints["gt-1"].set_cut_off(true);
    wait_until("a release fails", || async {
        cell.hosts.iter().any(|host| host.log().contains(r#""call":"release""#))
    })
    .await;
    cell.workers.iter().for_each(|(_, worker)| worker.restart_empty());
    wait_until("the tasks run again", || async {
        cell.workers.iter().map(|(_, worker)| worker.running().len()).sum::<usize>() == tasks
    })
    .await;
    assert_eq!(cell.running_twice(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partition_whose_release_is_not_answered_gets_its_next_owner() {
    let mut cell = Cell::start(&[("gt-1", 2, 3)]).await;
    let tasks = leave_all_partitions_to_host_0(&mut cell).await;
    let recoveries =
        |cell: &Cell| cell.hosts.iter().map(|host| host.log().matches("partition recovered").count()).sum::<usize>();
    let before = recoveries(&cell);
    cell.hosts[1].restart();
    cell.wait_until_ready(1).await;
    cell.platform.control(Control { lose_answers: 1, ..Control::default() });
    wait_until("the next owner is ready", || async { recoveries(&cell) > before }).await;
    submit_to_all_partitions(&cell, "more").await;
    cell.wait_for_rows(0, "show tasks where state = running", tasks * 2).await;
    assert_eq!(cell.started_more_than_once(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_platform_is_handled_like_an_outage() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    cell.submit(0, SERVICE).await;
    cell.submit(0, &batch("long", 4, 1, "run 10m")).await;
    cell.wait_for_rows(0, "show tasks where state = running", 8).await;
    cell.platform.control(Control { delay_ms: 5000, ..Control::default() });
    let refused =
        cell.try_execute(0, "submit plan.yaml", Some(&batch("late", 1, 1, "run 1s"))).await.expect("a response");
    assert_ne!(refused.status, Status::Done);
    let (_, worker) = cell.workers.iter().max_by_key(|(_, worker)| worker.running().len()).expect("workers");
    worker.restart_empty();
    cell.wait_for_rows(1, "show tasks where state = running", 8).await;
    wait_until("slot checks are answered", || async {
        cell.call(1, "/slots/1", None).await.is_some_and(|response| response.status == 200)
    })
    .await;
    assert_eq!(cell.running_twice(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn records_of_finished_workloads_are_removed_and_their_names_can_be_reused() {
    let timings = FAST_TIMINGS.replace("partitions: 4", "partitions: 4, keep_finished: 300ms");
    let platform = Platform::start(any_port()).await.expect("a free port");
    let cell = Cell::start_with_platform(platform, &[("gt-1", 2, 2)], &timings, &BTreeMap::new()).await;
    cell.submit(0, &batch("nightly", 4, 1, "run 50ms")).await;
    wait_until("all tasks were started", || async { cell.start_counts().values().sum::<usize>() == 4 }).await;
    wait_until("its record is removed", || async { cell.platform.value("/walkhook/test/workload/nightly").is_none() })
        .await;
    assert!(cell.platform.value("/walkhook/test/progress/gt-1/nightly").is_none());
    wait_until("the name is accepted again", || async {
        let outcome = cell.try_execute(1, "submit plan.yaml", Some(&batch("nightly", 2, 1, "run 50ms"))).await;
        outcome.is_some_and(|outcome| outcome.status == Status::Done)
    })
    .await;
    wait_until("the new tasks were started", || async { cell.start_counts().values().sum::<usize>() == 6 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_tasks_of_cancelled_workloads_are_never_started() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    cell.submit(0, &batch("full", 16, 1, "run 10m")).await;
    cell.wait_for_rows(0, "show tasks where state = running", 16).await;
    for name in ["a", "b", "c", "d"] {
        cell.submit(0, &batch(name, 50, 1, "run 1s")).await;
    }
    let cancels = ["cancel workload a", "cancel workload b", "cancel workload c", "cancel workload d"];
    for cancel in cancels {
        cell.execute(1, cancel).await;
    }
    cell.execute(0, "cancel workload full").await;
    cell.submit(0, &batch("after", 16, 1, "run 100ms")).await;
    cell.wait_for_rows(0, "show tasks where state = finished", 16).await;
    let started = cell.start_counts();
    assert!(started.keys().all(|task| task.workload == "full" || task.workload == "after"), "{started:?}");
}
