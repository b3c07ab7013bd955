//! Callers' requests: slot checks, and bookings that must not run twice.

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

/// Number of requests on each of the two paths that [`compare_latency`] compares.
const COMPARED_REQUESTS: usize = 2000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Response {
    status: u16,
    outcome: String,
    body: String,
    latency: Duration,
}

async fn call(http_client: &HttpClient, address: SocketAddr, path: &str, key: Option<Uuid>) -> Result<Response> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header("x-team", "dispatchers")
        .header("x-work", "1ms");
    if let Some(key) = key {
        request = request.header("idempotency-key", key.to_string());
    }
    let started_at = Instant::now();
    let response = http_client.request(request.body(Full::new(Bytes::from("wagon 12, track 4")))?).await?;
    let latency = started_at.elapsed();
    let outcome =
        response.headers().get("walkhook-outcome").and_then(|value| value.to_str().ok()).unwrap_or("answered");
    let (status, outcome) = (response.status().as_u16(), outcome.to_owned());
    let body = response.into_body().collect().await?.to_bytes();
    Ok(Response { status, outcome, body: String::from_utf8_lossy(&body).into_owned(), latency })
}

/// Sends checks and bookings through two entry hosts, each booking twice, and prints every response.
pub(crate) async fn send_requests(cell: &Cell) -> Result<()> {
    let http_client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let entries = [&cell.hosts[0], &cell.hosts[2]];
    println!("\nrequest         entry    status  outcome  latency ms");
    for round in 0..4 {
        for entry in entries {
            let response = call(&http_client, entry.callers, &format!("/slots/{round}"), None).await?;
            print_response(&format!("check {round}"), &entry.name, &response);
            ensure!(response.status == 200, "{}", response.body);
        }
    }
    for round in 0..3 {
        let key = Uuid::now_v7();
        let mut bodies = Vec::new();
        for entry in entries {
            let response = send_booking(&http_client, entry.callers, round, key).await?;
            print_response(&format!("booking {round}"), &entry.name, &response);
            bodies.push(response.body);
        }
        ensure!(bodies[0] == bodies[1], "the duplicate of a booking got a different response: {bodies:?}");
    }
    println!("the duplicate of each booking got the same response");
    Ok(())
}

/// Repeats a booking until it is answered. A recently started owner of a key returns the outcome "unknown" for keys
/// created before its record of keys begins.
async fn send_booking(http_client: &HttpClient, address: SocketAddr, round: u32, key: Uuid) -> Result<Response> {
    let started_at = Instant::now();
    loop {
        let response = call(http_client, address, &format!("/bookings/{round}"), Some(key)).await?;
        if response.status == 200 || started_at.elapsed() > Duration::from_secs(10) {
            ensure!(response.status == 200, "{}", response.body);
            return Ok(response);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn print_response(description: &str, entry: &str, response: &Response) {
    let latency_ms = response.latency.as_secs_f64() * 1000.0;
    println!("{description:<15} {entry:<8} {:>6}  {:<8} {latency_ms:>10.3}", response.status, response.outcome);
}

/// Prints the latency that an entry host adds over the same request sent directly to a backend server.
pub(crate) async fn compare_latency(cell: &Cell) -> Result<()> {
    let http_client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let entry = cell.hosts[0].callers;
    let first = call(&http_client, entry, "/slots/0", None).await?;
    let parsed: serde_json::Value = serde_json::from_str(&first.body)?;
    let backend: SocketAddr =
        parsed["instance"].as_str().context("the response does not name the instance")?.parse()?;
    let (mut direct, mut via_entry) = (Vec::new(), Vec::new());
    for _ in 0..COMPARED_REQUESTS {
        direct.push(call(&http_client, backend, "/slots/0", None).await?.latency);
        via_entry.push(call(&http_client, entry, "/slots/0", None).await?.latency);
    }
    let percentile = |times: &mut Vec<Duration>, fraction: f64| {
        times.sort();
        times[((times.len() - 1) as f64 * fraction) as usize].as_secs_f64() * 1000.0
    };
    let (direct_p50, direct_p99) = (percentile(&mut direct, 0.5), percentile(&mut direct, 0.99));
    let (entry_p50, entry_p99) = (percentile(&mut via_entry, 0.5), percentile(&mut via_entry, 0.99));
    println!("\n{COMPARED_REQUESTS} requests on each path, alternating median ms   p99 ms");
    println!("directly to the backend server         {direct_p50:>8.3} {direct_p99:>8.3}");
    println!("through the entry host                 {entry_p50:>8.3} {entry_p99:>8.3}");
    println!("added                                  {:>8.3} {:>8.3}", entry_p50 - direct_p50, entry_p99 - direct_p99);
    Ok(())
}
