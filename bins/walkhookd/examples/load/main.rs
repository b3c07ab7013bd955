//! Measures requests under load: `cargo run --release --example load`. Takes about a minute.
//!
//! Callers send at fixed rates, independent of the responses to earlier requests (open loop), at 0.5 to 5 times the
//! capacity of the instances: through two entry hosts and, in the same run, directly to the instances in turn, without
//! admission control. The measure is the rate of requests that are answered before their deadline.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use support::{Cell, DEFAULT_TIMINGS, HttpClient, wait_until};
use tokio::sync::Mutex;

const INSTANCES: usize = 4;
const SLOTS_PER_INSTANCE: f64 = 8.0;
const REQUEST_TIME: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(300);
const RUN_TIME: Duration = Duration::from_secs(5);
const PLAN: &str = "
workloads:
  - { name: planner, team: rail, kind: service, priority: urgent, instances: 4, each: { processors: 1, memory: 1GiB }, run: serve 40ms }
";

#[derive(Default)]
struct Tally {
    sent: usize,
    /// Latencies of the requests that an instance answered before the deadline.
    in_time: Vec<Duration>,
    /// Latencies of the requests that were refused with status 503 (not run).
    refused: Vec<Duration>,
    /// All other requests: late, of unknown outcome, or failed.
    failed: usize,
}

fn main() -> ExitCode {
    support::run_example(measure())
}

async fn measure() {
    let cell = Cell::start_with_timings(&[("gt-1", 2, 2)], DEFAULT_TIMINGS).await;
    cell.submit(0, PLAN).await;
    let instances = |cell: &Cell| -> Vec<SocketAddr> {
        cell.workers.iter().flat_map(|(_, worker)| worker.backends()).map(|backend| backend.address()).collect()
    };
    wait_until("all instances run", || async { instances(&cell).len() == INSTANCES }).await;
    for host in 0..2 {
        wait_until("slot checks are answered", || async {
            cell.call(host, "/slots/1", None).await.is_some_and(|response| response.status == 200)
        })
        .await;
    }
    let capacity = INSTANCES as f64 * SLOTS_PER_INSTANCE / REQUEST_TIME.as_secs_f64();
    println!("capacity: {capacity:.0} requests per second; deadline {DEADLINE:?}; two entry hosts");
    println!("load  target    sent  goodput  of capacity  p50 ms  p99 ms  refused  refused p99 ms failed peak slots");
    let instance_addresses = instances(&cell);
    let entry_addresses: Vec<SocketAddr> = cell.hosts.iter().map(|host| host.callers).collect();
    for load in [0.5, 1.0, 2.0, 5.0] {
        for (target, to) in [("walkhook", &entry_addresses), ("straight", &instance_addresses)] {
            let before: Vec<(u64, u64)> = cell.hosts.iter().map(support::EntryHost::resource_usage).collect();
            let tally = send_at_rate(&cell.http_client(), to, capacity * load).await;
            let cpu_ms: u64 = cell
                .hosts
                .iter()
                .map(support::EntryHost::resource_usage)
                .zip(before)
                .map(|(now, then)| now.0 - then.0)
                .sum();
            report(load, target, &tally, capacity, &cell);
            if target == "walkhook" {
                let cpu_ms_per_request = cpu_ms as f64 / tally.sent as f64;
                println!(
                    "      processor time of the entry hosts: {cpu_ms_per_request:.3} ms per request, {:.0} requests per core-second",
                    1000.0 / cpu_ms_per_request
                );
            }
            // Requests still in progress must complete before the next load starts.
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }
}

/// Sends requests at a fixed rate, to the addresses in turn.
async fn send_at_rate(http_client: &HttpClient, to: &[SocketAddr], rate: f64) -> Tally {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let started_at = Instant::now();
    let mut sent = 0usize;
    let mut tasks = Vec::new();
    while started_at.elapsed() < RUN_TIME {
        let due = (started_at.elapsed().as_secs_f64() * rate) as usize;
        while sent < due {
            let (http_client, address, tally) = (http_client.clone(), to[sent % to.len()], tally.clone());
            tasks.push(tokio::spawn(async move { send_one(&http_client, address, &tally).await }));
            sent += 1;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    let mut totals = std::mem::take(&mut *tally.lock().await);
    totals.sent = sent;
    totals.in_time.sort();
    totals.refused.sort();
    totals
}

async fn send_one(http_client: &HttpClient, to: SocketAddr, tally: &Mutex<Tally>) {
    let request = Request::builder()
        .uri(format!("http://{to}/slots/1"))
        .header("walkhook-deadline-ms", DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::new()))
        .expect("a valid request");
    let started_at = Instant::now();
    let result = tokio::time::timeout(DEADLINE, async {
        let response = http_client.request(request).await.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        Some(status)
    })
    .await;
    let latency = started_at.elapsed();
    let mut tally = tally.lock().await;
    match result {
        Ok(Some(200)) => tally.in_time.push(latency),
        Ok(Some(503)) => tally.refused.push(latency),
        _ => tally.failed += 1,
    }
}

fn report(load: f64, target: &str, tally: &Tally, capacity: f64, cell: &Cell) {
    let percentile = |times: &[Duration], fraction: f64| {
        times.get(((times.len().max(1) - 1) as f64 * fraction) as usize).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    };
    let in_time = tally.in_time.len() as f64 / RUN_TIME.as_secs_f64();
    let peaks = cell.workers.iter().flat_map(|(_, worker)| worker.backends()).map(|backend| backend.take_peak());
    println!(
        "{load:>4}  {target} {:>6} {in_time:>8.0} {:>11.0}% {:>7.1} {:>7.1} {:>8} {:>15.1} {:>5} {:>11}",
        tally.sent,
        in_time / capacity * 100.0,
        percentile(&tally.in_time, 0.5),
        percentile(&tally.in_time, 0.99),
        tally.refused.len(),
        percentile(&tally.refused, 0.99),
        tally.failed,
        peaks.max().unwrap_or(0)
    );
}
