//! The platform is down, loses answers, forgets its history; operators race.

mod support;

use std::collections::BTreeMap;

use api::Status;
use fakes::{Control, Platform, any_port};
use support::{Cell, FAST, SERVICE, batch, until};
use uuid::Uuid;

#[tokio::test(flavor = "multi_thread")]
async fn in_an_outage_requests_are_served_and_acceptance_is_refused_truthfully() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, SERVICE).await;
    until("it answers", || async { cell.call(0, "/slots/1", None).await.is_some_and(|answer| answer.status == 200) })
        .await;
    cell.platform.control(Control { down: true, ..Control::default() });
    let refused = cell.ask(1, "submit plan.yaml", Some(&batch("late", 2, 1, "run 1s"))).await.expect("an answer");
    assert_ne!(refused.status, Status::Done);
    for round in 0..20 {
        let answer = cell.call(round % 2, "/slots/1", None).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    cell.platform.control(Control::default());
    if refused.status == Status::NotDone {
        cell.until_rows(0, "show workloads where workload = late", 0).await;
    }
    until("work is accepted again", || async {
        let outcome = cell.ask(0, "submit plan.yaml", Some(&batch("after", 2, 1, "run 100ms"))).await;
        outcome.is_some_and(|outcome| outcome.status == Status::Done)
    })
    .await;
    cell.until_rows(0, "show tasks where task = after.gt-1.0 and state = finished", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_and_the_command_is_carried_out_once() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    cell.platform.control(Control { lose_answers: 1, ..Control::default() });
    let command = Uuid::new_v4();
    let plan = batch("once", 4, 1, "run 100ms");
    let first = cell.send(0, command, "submit plan.yaml", Some(&plan)).await.expect("an answer");
    assert_eq!(first.status, Status::Done, "it took effect, and that was found out: {}", first.message);
    let again = cell.send(1, command, "submit plan.yaml", Some(&plan)).await.expect("an answer");
    assert_eq!(again.status, Status::Done, "{}", again.message);
    cell.until_rows(0, "show tasks where state = finished", 4).await;
    assert!(cell.starts().values().all(|count| *count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_exactly_one_wins() {
    let cell = Cell::start(&[("gt-1", 2, 3)]).await;
    cell.submit(0, SERVICE).await;
    cell.until_rows(1, "show workloads", 1).await;
    let revision = cell.rows(0, "show workloads").await[0][8].clone();
    let change = |count: u32| format!("change workload planner set instances = {count} if revision = {revision}");
    let (three, five) = (change(3), change(5));
    let (left, right) = tokio::join!(cell.ask(0, &three, None), cell.ask(1, &five, None));
    let (left, right) = (left.expect("an answer"), right.expect("an answer"));
    let won = |outcome: &api::Outcome| outcome.status == Status::Done;
    assert!(won(&left) != won(&right), "{left:?} {right:?}");
    let loser = if won(&left) { &right } else { &left };
    assert_eq!(loser.status, Status::NotDone);
    assert!(loser.message.contains("changed by command"), "{}", loser.message);
    let wanted = if won(&left) { "3" } else { "5" };
    for host in 0..2 {
        cell.until_rows(host, &format!("show workloads where instances = {wanted}"), 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_configuration_is_in_force_everywhere_and_never_reverts() {
    let mut cell = Cell::start(&[("gt-1", 2, 2), ("gt-2", 2, 2)]).await;
    cell.submit(0, SERVICE).await;
    for count in [6, 7, 8] {
        cell.execute(3, &format!("change workload planner set instances = {count}")).await;
        for host in 0..4 {
            cell.until_rows(host, &format!("show workloads where instances = {count}"), 1).await;
        }
    }
    cell.platform.control(Control { compact: true, ..Control::default() });
    cell.hosts[1].kill();
    cell.hosts[1].restart();
    cell.until_ready(1).await;
    cell.until_rows(1, "show workloads where instances = 8", 1).await;
    cell.execute(1, "change workload planner set instances = 9").await;
    for host in 0..4 {
        cell.until_rows(host, "show workloads where instances = 9", 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_started_in_an_outage_has_the_configuration_from_its_peers() {
    let mut cell = Cell::start(&[("gt-1", 2, 2), ("gt-2", 1, 1)]).await;
    cell.submit(0, SERVICE).await;
    cell.until_rows(2, "show workloads", 1).await;
    cell.platform.control(Control { down: true, ..Control::default() });
    cell.hosts[1].kill();
    cell.hosts[1].restart();
    cell.until_rows(1, "show workloads", 1).await;
    cell.until_ready(1).await;
    until("it serves", || async { cell.call(1, "/slots/1", None).await.is_some_and(|answer| answer.status == 200) })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_cut_off_from_the_platform_heals_its_instances_and_hears_of_changes() {
    let platform = Platform::start(any_port()).await.expect("a free port");
    let doors = BTreeMap::from([("gt-2", platform.add_endpoint().await.expect("a free port"))]);
    let cell = Cell::start_with(platform, &[("gt-1", 1, 2), ("gt-2", 2, 3)], FAST, &doors).await;
    cell.submit(0, SERVICE).await;
    let running = || {
        let there = cell.workers.iter().filter(|(name, _)| name.starts_with("gt-2"));
        there.map(|(_, worker)| worker.running().len()).sum::<usize>()
    };
    until("its share runs", || async { running() == 2 }).await;
    doors["gt-2"].set_cut_off(true);
    let (_, busy) = cell
        .workers
        .iter()
        .filter(|(name, _)| name.starts_with("gt-2"))
        .max_by_key(|(_, worker)| worker.running().len())
        .expect("workers");
    busy.restart_empty();
    until("its share runs again", || async { running() == 2 }).await;
    cell.execute(0, "change workload planner set instances = 8").await;
    until("the change is in force beyond the cut", || async { running() == 4 }).await;
    until("it answers", || async { cell.call(1, "/slots/1", None).await.is_some_and(|answer| answer.status == 200) })
        .await;
    let refused = cell.ask(1, "cancel workload planner", None).await.expect("an answer");
    assert_ne!(refused.status, Status::Done);
    doors["gt-2"].set_cut_off(false);
    until("it accepts again", || async {
        let outcome = cell.ask(1, "change workload planner set instances = 6", None).await;
        outcome.is_some_and(|outcome| outcome.status == Status::Done)
    })
    .await;
    assert_eq!(cell.doubled(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_platform_is_as_good_as_one_that_is_down() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    cell.submit(0, SERVICE).await;
    cell.submit(0, &batch("long", 4, 1, "run 10m")).await;
    cell.until_rows(0, "show tasks where state = running", 8).await;
    cell.platform.control(Control { delay_ms: 5000, ..Control::default() });
    let refused = cell.ask(0, "submit plan.yaml", Some(&batch("late", 1, 1, "run 1s"))).await.expect("an answer");
    assert_ne!(refused.status, Status::Done);
    let (_, worker) = cell.workers.iter().max_by_key(|(_, worker)| worker.running().len()).expect("workers");
    worker.restart_empty();
    cell.until_rows(1, "show tasks where state = running", 8).await;
    until("it answers", || async { cell.call(1, "/slots/1", None).await.is_some_and(|answer| answer.status == 200) })
        .await;
    assert_eq!(cell.doubled(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn records_of_finished_work_are_removed_and_their_names_are_free() {
    let pace = FAST.replace("partitions: 4", "partitions: 4, keep_finished: 300ms");
    let platform = Platform::start(any_port()).await.expect("a free port");
    let cell = Cell::start_with(platform, &[("gt-1", 2, 2)], &pace, &BTreeMap::new()).await;
    cell.submit(0, &batch("nightly", 4, 1, "run 50ms")).await;
    until("it ran", || async { cell.starts().values().sum::<usize>() == 4 }).await;
    until("its record is gone", || async { cell.platform.value("/walkhook/test/workload/nightly").is_none() }).await;
    assert!(cell.platform.value("/walkhook/test/progress/gt-1/nightly").is_none());
    until("it is accepted again", || async {
        let outcome = cell.ask(1, "submit plan.yaml", Some(&batch("nightly", 2, 1, "run 50ms"))).await;
        outcome.is_some_and(|outcome| outcome.status == Status::Done)
    })
    .await;
    until("it runs again", || async { cell.starts().values().sum::<usize>() == 6 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_a_wave_of_cancelled_work_nothing_is_started_afterwards() {
    let cell = Cell::start(&[("gt-1", 2, 2)]).await;
    cell.submit(0, &batch("full", 16, 1, "run 10m")).await;
    cell.until_rows(0, "show tasks where state = running", 16).await;
    for name in ["a", "b", "c", "d"] {
        cell.submit(0, &batch(name, 50, 1, "run 1s")).await;
    }
    let cancels = ["cancel workload a", "cancel workload b", "cancel workload c", "cancel workload d"];
    for cancel in cancels {
        cell.execute(1, cancel).await;
    }
    cell.execute(0, "cancel workload full").await;
    cell.submit(0, &batch("after", 16, 1, "run 100ms")).await;
    cell.until_rows(0, "show tasks where state = finished", 16).await;
    let started = cell.starts();
    assert!(started.keys().all(|task| task.workload == "full" || task.workload == "after"), "{started:?}");
}
