//! The first calls of a new leader to its workers: their order and concurrency.

mod support;

use std::sync::Arc;
use std::time::Duration;

use entry::{Answer, Role};
use fakes::cell::{Cell, SimulatedRun};
use model::Resources;
use sched::{RunOutcome, WorkerInfo};
use support::{leads, new_cell, start_hosts, submit, wait_for_end, wait_until, worker_info};
use work::{Outcome, WorkerId};

/// Many more than are called concurrently.
const WORKERS: usize = 600;
/// So many that the calls take longer than the leader's lease lasts.
const MANY_WORKERS: usize = 3000;
/// Maximum number of concurrent first calls.
const MAX_FIRST_CALLS: usize = 32;

/// Only the last workers by name have room.
fn capacity(number: usize, workers: usize) -> Resources {
    if number < workers - 10 { Resources::ZERO } else { Resources::new(4, 4000, 0) }
}

/// A cell with many workers, whose runs last until a new leader is elected, and its two hosts.
async fn start_busy_cell(workers: usize) -> (Arc<Cell>, Vec<Arc<entry::Host>>) {
    let cell = Cell::new(support::config(1));
    (0..workers).for_each(|number| {
        cell.add_worker(
            &format!("w{number:04}"),
            WorkerInfo { capacity: capacity(number, workers), ..worker_info(number) },
        )
    });
    let hosts = start_hosts(&cell, 2).await;
    wait_until("all workers are called", || cell.first_calls(1).len() == workers).await;
    cell.simulate_runs(SimulatedRun { duration: Duration::from_secs(3), outcome: RunOutcome::Done });
    assert_eq!(submit(&hosts[1], 7, 20).await, Answer::Accepted);
    wait_until("all tasks run", || cell.starts().len() == 20).await;
    (cell, hosts)
}

fn term(host: &entry::Host) -> work::Term {
    match host.role() {
        Role::Leading(leadership) => leadership.term,
        Role::NoLeader | Role::Following(..) => 0,
    }
}

/// Stops the first host. Returns the term of the second, which then leads.
async fn take_over(hosts: &[Arc<entry::Host>]) -> work::Term {
    hosts[0].stop().await;
    wait_until("the next leads", || leads(&hosts[1])).await;
    term(&hosts[1])
}

/// Tasks that were running during the change of leader wait until their state is known.
#[tokio::test]
async fn workers_on_which_tasks_were_placed_are_called_first() {
    let (cell, hosts) = start_busy_cell(WORKERS).await;
    let mut placed: Vec<WorkerId> = cell.starts().into_iter().map(|(worker, _, _)| worker).collect();
    placed.sort();
    placed.dedup();
    let next = take_over(&hosts).await;
    wait_until("all workers are called", || cell.first_calls(next).len() >= WORKERS).await;
    let mut first: Vec<WorkerId> = cell.first_calls(next).into_iter().take(placed.len()).collect();
    first.sort();
    assert_eq!(first, placed);
    assert_eq!(wait_for_end(&hosts[1], 7).await, Outcome::Completed);
    assert_eq!(cell.starts().len(), 20, "nothing ran twice");
}

/// Calling all workers at once would delay the new leader's own record, its log and its followers.
#[tokio::test]
async fn few_workers_are_called_at_once() {
    let (cell, hosts) = start_busy_cell(WORKERS).await;
    cell.set_first_call_delay(Duration::from_millis(5));
    let next = take_over(&hosts).await;
    wait_until("all workers are called", || cell.first_calls(next).len() >= WORKERS).await;
    assert!(cell.max_concurrent_first_calls() <= MAX_FIRST_CALLS, "{} at once", cell.max_concurrent_first_calls());
    assert_eq!(wait_for_end(&hosts[1], 7).await, Outcome::Completed);
}

/// A worker that doesn't answer its first call delays the others only briefly.
#[tokio::test]
async fn silent_workers_do_not_delay_others() {
    let (cell, hosts) = start_busy_cell(WORKERS).await;
    cell.set_first_call_delay(Duration::from_secs(600));
    let next = take_over(&hosts).await;
    wait_until("all workers are called", || cell.first_calls(next).len() >= WORKERS).await;
    assert_eq!(submit(&hosts[1], 8, 1).await, Answer::Accepted, "it leads all the same");
}

/// A leader that calls thousands of workers, each of which costs processor time, keeps renewing its record and
/// accepting jobs.
#[tokio::test]
async fn a_new_leader_stays_leader_while_it_calls_its_workers() {
    let (cell, hosts) = start_busy_cell(MANY_WORKERS).await;
    cell.set_call_cpu_time(Duration::from_micros(500));
    let next = take_over(&hosts).await;
    let called = |count: usize| cell.first_calls(next).len() >= count;
    assert_eq!(submit(&hosts[1], 8, 1).await, Answer::Accepted);
    assert!(!called(MANY_WORKERS), "a job is taken before all workers have been called");
    wait_until("all workers are called", || called(MANY_WORKERS)).await;
    cell.set_call_cpu_time(Duration::ZERO);
    assert_eq!(wait_for_end(&hosts[1], 8).await, Outcome::Completed);
    assert_eq!(term(&hosts[1]), next, "nobody else has led");
}

/// The store may be slower to answer the leader, which sends more requests, than its followers.
#[tokio::test]
async fn a_slow_store_causes_no_change_of_leader() {
    let cell = new_cell();
    let hosts = start_hosts(&cell, 3).await;
    (1..3).for_each(|number| cell.set_answer_delay(&format!("host-{number}"), Duration::from_millis(350)));
    cell.set_answer_delay("host-0", Duration::from_millis(500));
    // Several times as long as a leader takes to yield when the store doesn't answer it.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(term(&hosts[0]), 1);
    assert_eq!(submit(&hosts[1], 7, 1).await, Answer::Accepted);
}

/// Guards against a longer time without a leader when the watch of its record doesn't report that its lease has expired,
/// although this host has read that the record is gone.
#[tokio::test]
async fn the_next_leader_does_not_depend_on_the_watch_of_the_record() {
    let cell = new_cell();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().expect("a runtime");
    let killed = runtime.spawn({
        let cell = cell.clone();
        async move { cell.start_host("killed").await.expect("a free port") }
    });
    let killed = killed.await.expect("a host");
    wait_until("it leads", || leads(&killed)).await;
    cell.silence_watches();
    let next = cell.start_host("next").await.expect("a free port");
    wait_until("the next host follows", || matches!(next.role(), Role::Following(..))).await;
    runtime.shutdown_background();
    wait_until("the next host leads", || leads(&next)).await;
}
