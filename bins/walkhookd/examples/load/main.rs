//! Measures requests under load: `cargo run --release --example load`. Takes about a minute.
//!
//! Callers send at fixed rates, whatever becomes of earlier requests, at 0.5 to 5 times what the instances can do:
//! through two entry hosts, and, in the same run, straight to instances chosen at random without admission. What
//! counts is what is answered before its deadline.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use support::{Caller, Cell, DEFAULT, until};
use tokio::sync::Mutex;

const INSTANCES: usize = 4;
const SLOTS: f64 = 8.0;
const WORK: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(300);
const RUN: Duration = Duration::from_secs(5);
const PLAN: &str = "
workloads:
  - { name: planner, team: rail, kind: service, priority: urgent, instances: 4, each: { processors: 1, memory: 1GiB }, run: serve 40ms }
";

#[derive(Default)]
struct Tally {
    sent: usize,
    /// Times of those answered by an instance before the deadline.
    good: Vec<Duration>,
    /// Refused as "not run", with the time that took.
    refused: Vec<Duration>,
    /// All others: late, unknown, broken.
    lost: usize,
}

fn main() -> ExitCode {
    support::run_example(measure())
}

async fn measure() {
    let cell = Cell::start_at(&[("gt-1", 2, 2)], DEFAULT).await;
    cell.submit(0, PLAN).await;
    let instances = |cell: &Cell| -> Vec<SocketAddr> {
        cell.workers.iter().flat_map(|(_, worker)| worker.backends()).map(|backend| backend.address()).collect()
    };
    until("all instances run", || async { instances(&cell).len() == INSTANCES }).await;
    for host in 0..2 {
        until("it answers", || async {
            cell.call(host, "/slots/1", None).await.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }
    let capacity = INSTANCES as f64 * SLOTS / WORK.as_secs_f64();
    println!("capacity: {capacity:.0} requests a second; deadline {DEADLINE:?}; two entry hosts");
    println!("load  way       sent   good/s  of capacity  p50 ms  p99 ms  refused  refused p99 ms  lost  peak slots");
    let straight = instances(&cell);
    let entries: Vec<SocketAddr> = cell.hosts.iter().map(|host| host.callers).collect();
    for load in [0.5, 1.0, 2.0, 5.0] {
        for (way, to) in [("walkhook", &entries), ("straight", &straight)] {
            let before: Vec<(u64, u64)> = cell.hosts.iter().map(support::Entry::costs).collect();
            let tally = run(&cell.caller(), to, capacity * load).await;
            let spent: u64 =
                cell.hosts.iter().map(support::Entry::costs).zip(before).map(|(now, then)| now.0 - then.0).sum();
            report(load, way, &tally, capacity, &cell);
            if way == "walkhook" {
                let each = spent as f64 / tally.sent as f64;
                println!(
                    "      processor time of the entry hosts: {each:.3} ms a request, {:.0} requests a second and core",
                    1000.0 / each
                );
            }
            // What is left over of this load must not weigh on the next.
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }
}

/// Sends at a fixed rate, to each address in turn.
async fn run(caller: &Caller, to: &[SocketAddr], rate: f64) -> Tally {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let began = Instant::now();
    let mut sent = 0usize;
    let mut tasks = Vec::new();
    while began.elapsed() < RUN {
        let due = (began.elapsed().as_secs_f64() * rate) as usize;
        while sent < due {
            let (caller, address, tally) = (caller.clone(), to[sent % to.len()], tally.clone());
            tasks.push(tokio::spawn(async move { one(&caller, address, &tally).await }));
            sent += 1;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for task in tasks {
        let _ = task.await;
    }
    let mut done = std::mem::take(&mut *tally.lock().await);
    done.sent = sent;
    done.good.sort();
    done.refused.sort();
    done
}

async fn one(caller: &Caller, to: SocketAddr, tally: &Mutex<Tally>) {
    let request = Request::builder()
        .uri(format!("http://{to}/slots/1"))
        .header("walkhook-deadline-ms", DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::new()))
        .expect("a good request");
    let began = Instant::now();
    let answered = tokio::time::timeout(DEADLINE, async {
        let answer = caller.request(request).await.ok()?;
        let status = answer.status().as_u16();
        answer.into_body().collect().await.ok()?;
        Some(status)
    })
    .await;
    let took = began.elapsed();
    let mut tally = tally.lock().await;
    match answered {
        Ok(Some(200)) => tally.good.push(took),
        Ok(Some(503)) => tally.refused.push(took),
        _ => tally.lost += 1,
    }
}

fn report(load: f64, way: &str, tally: &Tally, capacity: f64, cell: &Cell) {
    let at = |times: &[Duration], share: f64| {
        times.get(((times.len().max(1) - 1) as f64 * share) as usize).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
    };
    let good = tally.good.len() as f64 / RUN.as_secs_f64();
    let peaks = cell.workers.iter().flat_map(|(_, worker)| worker.backends()).map(|backend| backend.take_peak());
    println!(
        "{load:>4}  {way} {:>6} {good:>8.0} {:>11.0}% {:>7.1} {:>7.1} {:>8} {:>15.1} {:>5} {:>11}",
        tally.sent,
        good / capacity * 100.0,
        at(&tally.good, 0.5),
        at(&tally.good, 0.99),
        tally.refused.len(),
        at(&tally.refused, 0.99),
        tally.lost,
        peaks.max().unwrap_or(0)
    );
}
