//! Callers: slot checks, and bookings that must not run twice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use uuid::Uuid;

use crate::processes::Cell;

/// Requests of the comparison, by each of the two ways.
const COMPARED: usize = 2000;

type Caller = Client<HttpConnector, Full<Bytes>>;

struct Answer {
    status: u16,
    outcome: String,
    body: String,
    took: Duration,
}

async fn call(caller: &Caller, to: SocketAddr, path: &str, key: Option<Uuid>) -> Result<Answer> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{to}{path}"))
        .header("x-team", "dispatchers")
        .header("x-work", "1ms");
    if let Some(key) = key {
        request = request.header("idempotency-key", key.to_string());
    }
    let began = Instant::now();
    let answer = caller.request(request.body(Full::new(Bytes::from("wagon 12, track 4")))?).await?;
    let took = began.elapsed();
    let outcome = answer.headers().get("walkhook-outcome").and_then(|value| value.to_str().ok()).unwrap_or("answered");
    let (status, outcome) = (answer.status().as_u16(), outcome.to_owned());
    let body = answer.into_body().collect().await?.to_bytes();
    Ok(Answer { status, outcome, body: String::from_utf8_lossy(&body).into_owned(), took })
}

/// Sends checks and bookings through two entry hosts, each booking twice, and prints every answer.
pub(crate) async fn send(cell: &Cell) -> Result<()> {
    let caller: Caller = Client::builder(TokioExecutor::new()).build_http();
    let entries = [&cell.hosts[0], &cell.hosts[2]];
    println!("\nrequest         entry    status  outcome   waited ms");
    for round in 0..4 {
        for entry in entries {
            let answer = call(&caller, entry.callers, &format!("/slots/{round}"), None).await?;
            print(&format!("check {round}"), &entry.name, &answer);
            ensure!(answer.status == 200, "{}", answer.body);
        }
    }
    for round in 0..3 {
        let key = Uuid::now_v7();
        let mut bodies = Vec::new();
        for entry in entries {
            let answer = booked(&caller, entry.callers, round, key).await?;
            print(&format!("booking {round}"), &entry.name, &answer);
            bodies.push(answer.body);
        }
        ensure!(bodies[0] == bodies[1], "a duplicate got another answer: {bodies:?}");
    }
    println!("each booking's duplicate got the first one's answer");
    Ok(())
}

/// A young home says "unknown" for keys made before its memory began; the caller asks with a new one.
async fn booked(caller: &Caller, to: SocketAddr, round: u32, key: Uuid) -> Result<Answer> {
    let began = Instant::now();
    loop {
        let answer = call(caller, to, &format!("/bookings/{round}"), Some(key)).await?;
        if answer.status == 200 || began.elapsed() > Duration::from_secs(10) {
            ensure!(answer.status == 200, "{}", answer.body);
            return Ok(answer);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn print(what: &str, entry: &str, answer: &Answer) {
    let waited = answer.took.as_secs_f64() * 1000.0;
    println!("{what:<15} {entry:<8} {:>6}  {:<8} {waited:>10.3}", answer.status, answer.outcome);
}

/// Latency added by the entry host, against the same request sent straight to a backend server.
pub(crate) async fn compare(cell: &Cell) -> Result<()> {
    let caller: Caller = Client::builder(TokioExecutor::new()).build_http();
    let entry = cell.hosts[0].callers;
    let first = call(&caller, entry, "/slots/0", None).await?;
    let told: serde_json::Value = serde_json::from_str(&first.body)?;
    let backend: SocketAddr = told["instance"].as_str().context("the instance names itself")?.parse()?;
    let (mut straight, mut through) = (Vec::new(), Vec::new());
    for _ in 0..COMPARED {
        straight.push(call(&caller, backend, "/slots/0", None).await?.took);
        through.push(call(&caller, entry, "/slots/0", None).await?.took);
    }
    let at = |times: &mut Vec<Duration>, share: f64| {
        times.sort();
        times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1000.0
    };
    let (p50, p99) = (at(&mut straight, 0.5), at(&mut straight, 0.99));
    let (t50, t99) = (at(&mut through, 0.5), at(&mut through, 0.99));
    println!("\n{COMPARED} requests each way, by turns        median ms   p99 ms");
    println!("straight to the backend server         {p50:>8.3} {p99:>8.3}");
    println!("through the entry host                 {t50:>8.3} {t99:>8.3}");
    println!("added                                  {:>8.3} {:>8.3}", t50 - p50, t99 - p99);
    Ok(())
}
