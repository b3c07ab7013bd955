//! Measures task starts, takeovers, preemption and cancellation end to end, through real entry hosts:
//! `cargo run --release --example starts`.
//!
//! Bursts are timed from the submission of small tasks on 50 workers with room until the last task starts at its
//! worker; takeovers from the SIGKILL of an entry host until all of its workers start new tasks.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use support::{Cell, DEFAULT_TIMINGS, wait_until};

const WORKERS: usize = 50;

fn main() -> ExitCode {
    support::run_example(measure())
}

/// Returns a plan with tasks so small that every worker has room for many.
fn small_tasks(name: &str, tasks: u32) -> String {
    support::batch(name, tasks, 1, "run 1h").replace("processors: 1, memory: 1GiB", "processors: 0.02, memory: 8MiB")
}

fn start_count(cell: &Cell) -> usize {
    cell.workers.iter().map(|(_, worker)| worker.starts().len()).sum()
}

async fn measure() {
    measure_bursts().await;
    measure_urgent().await;
    measure_cancels().await;
}

/// Cancels many workloads that wait on a full cell, through all hosts at once.
async fn measure_cancels() {
    const PLANS: usize = 20;
    const WORKLOADS_PER_PLAN: usize = 50;
    let cell = Cell::start_with_timings(&[("gt-1", 3, 4)], DEFAULT_TIMINGS).await;
    cell.submit(0, &support::batch("full", 4 * support::CORES, 1, "run 1h")).await;
    wait_until("the cell is full", || async { start_count(&cell) == 4 * support::CORES as usize }).await;
    for plan in 0..PLANS {
        let lines = (0..WORKLOADS_PER_PLAN).map(|index| {
            format!("  - {{ name: w-{plan}-{index}, team: rail, kind: batch, instances: 10, each: {{ processors: 1, memory: 1GiB }}, run: run 1s }}")
        });
        let text = format!("workloads:\n{}\n", lines.collect::<Vec<_>>().join("\n"));
        cell.submit(plan % 3, &text).await;
    }
    let names: Vec<String> =
        (0..PLANS).flat_map(|plan| (0..WORKLOADS_PER_PLAN).map(move |index| format!("w-{plan}-{index}"))).collect();
    for host in 0..3 {
        cell.wait_for_rows(host, "show workloads", names.len() + 1).await;
    }
    let writes = |cell: &Cell| cell.platform.counts().calls.get("/v3/kv/txn").copied().unwrap_or(0);
    let (started_at, before) = (Instant::now(), writes(&cell));
    let cancel = |(index, name): (usize, &String)| {
        let statement = format!("cancel workload {name}");
        let cell = &cell;
        async move {
            cell.try_execute(index % 3, &statement, None)
                .await
                .is_some_and(|outcome| outcome.status == api::Status::Done)
        }
    };
    let outcomes = futures_util::future::join_all(names.iter().enumerate().map(cancel)).await;
    let done = outcomes.iter().filter(|done| **done).count();
    let seconds = started_at.elapsed().as_secs_f64();
    let write_count = writes(&cell) - before;
    println!(
        "\n{} cancels at once through three hosts: {done} done in {seconds:.2} s, {write_count} platform writes",
        names.len()
    );
    cell.execute(0, "cancel workload full").await;
    cell.submit(0, &support::batch("after", 16, 1, "run 100ms")).await;
    wait_until("the next workload runs", || async { cell.start_counts().keys().any(|task| task.workload == "after") })
        .await;
    let started_after_cancel = cell.start_counts().keys().filter(|task| task.workload.starts_with("w-")).count();
    println!("cancelled tasks started: {started_after_cancel} of {}", names.len() * 10);
}

/// Measures how long urgent tasks wait on a cell that is full of patient tasks.
async fn measure_urgent() {
    let cell = Cell::start_with_timings(&[("gt-1", 3, WORKERS)], DEFAULT_TIMINGS).await;
    let cores = WORKERS as u32 * support::CORES;
    let running = |name: &str| {
        let tasks = cell.workers.iter().flat_map(|(_, worker)| worker.running());
        tasks.filter(|task| task.workload == name).count()
    };
    let prioritized = |name: &str, priority: &str, tasks: u32, processors: u32| {
        support::batch(name, tasks, processors, "run 1h")
            .replace("kind: batch", &format!("kind: batch, priority: {priority}"))
    };
    cell.submit(0, &prioritized("menus", "patient", cores, 1)).await;
    wait_until("the cell is full", || async { running("menus") == cores as usize }).await;
    println!("\nurgent tasks of 4 cores on a full cell   seconds until all run   patient tasks stopped");
    let mut stopped = 0;
    for (round, tasks) in [1u32, 10, 40].into_iter().enumerate() {
        let name = format!("rush-{round}");
        let started_at = Instant::now();
        cell.submit(round % 3, &prioritized(&name, "urgent", tasks, 4)).await;
        while running(&name) < tasks as usize {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let now_stopped = cores as usize - running("menus");
        println!("{tasks:>38} {:>24.2} {:>23}", started_at.elapsed().as_secs_f64(), now_stopped - stopped);
        stopped = now_stopped;
    }
}

async fn measure_bursts() {
    let mut cell = Cell::start_with_timings(&[("gt-1", 3, WORKERS)], DEFAULT_TIMINGS).await;
    println!("tasks in a burst  seconds         starts/s");
    let mut before = 0;
    for (round, tasks) in [500u32, 2_000, 6_000].into_iter().enumerate() {
        let started_at = Instant::now();
        cell.submit(0, &small_tasks(&format!("burst-{round}"), tasks)).await;
        while start_count(&cell) < before + tasks as usize {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let seconds = started_at.elapsed().as_secs_f64();
        println!("{tasks:>16} {seconds:>8.2} {:>16.0}", f64::from(tasks) / seconds);
        before += tasks as usize;
    }
    let tasks = before;
    let metrics = support::get_text(&format!("http://{}/metrics", cell.hosts[0].operators)).await;
    let decisions =
        metrics.lines().filter(|line| line.contains("decision_seconds_sum") || line.contains("decision_seconds_count"));
    for line in decisions {
        println!("{line}");
    }
    for victim in [1, 2] {
        let started_at = Instant::now();
        cell.hosts[victim].kill();
        let statement = format!("show workers where state = live and holder != gt-1-e{victim}");
        cell.wait_for_rows(0, &statement, WORKERS).await;
        let reassigned_after = started_at.elapsed();
        cell.submit(0, &small_tasks(&format!("after-{victim}"), 200)).await;
        let expected = start_count(&cell).max(before) + 200;
        wait_until("new tasks were started", || async { start_count(&cell) >= expected.min(before + 200) }).await;
        println!(
            "killed gt-1-e{victim}: all workers held after {:.2} s, new tasks started after {:.2} s",
            reassigned_after.as_secs_f64(),
            started_at.elapsed().as_secs_f64()
        );
        before += 200;
        cell.hosts[victim].restart();
        cell.wait_until_ready(victim).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
    println!("tasks started more than once: {} of {tasks}", cell.started_more_than_once().len());
}
