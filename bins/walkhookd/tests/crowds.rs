//! Clients outside the operator's control against a real entry host: it must stay alive, within its memory, and answer ordinary
//! callers.
//!
//! One crowd runs at a time, so that each has the machine to itself.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use support::{Cell, SERVICE, call, wait_until};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use uuid::Uuid;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Memory of the machine, in bytes.
const MEMORY_BYTES: u64 = 260_000_000;
/// Bound on the time for which a server that neither reads nor closes a connection keeps its client waiting.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);
/// Settings whose deadlines don't end what a crowd sends.
const LONG_DEADLINES: &str = "log: info
membership: { heartbeat: 50ms, dead_after: 600ms }
tasks: { lease: 3s, renew_every: 200ms, partitions: 4 }
requests: { connections: 4096 }
classes:
  - { name: check, path: /slots, service: planner, priority: urgent, deadline: 600s, repeatable: true }
  - { name: booking, path: /bookings, service: planner, priority: urgent, deadline: 600s }
";

async fn start(settings: &str) -> (MutexGuard<'static, ()>, Cell) {
    let turn = ONE_AT_A_TIME.lock().await;
    let cell = Cell::start_with_timings(&[("gt-1", 1, 2)], settings).await;
    cell.submit(0, SERVICE).await;
    wait_until("slot checks are answered", || async {
        cell.call(0, "/slots/1", None).await.is_some_and(|response| response.status == 200)
    })
    .await;
    wait_until("bookings are answered", || async {
        let key = Uuid::now_v7().to_string();
        cell.call(0, "/bookings/1", Some(&key)).await.is_some_and(|response| response.status == 200)
    })
    .await;
    (turn, cell)
}

/// Opens a connection for each request and sends the request, all at the same time. Returns the open connections.
async fn send(to: SocketAddr, requests: impl IntoIterator<Item = Vec<u8>>) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for request in requests {
        clients.spawn(async move {
            let mut stream = TcpStream::connect(to).await.ok()?;
            let sent = tokio::time::timeout(SEND_TIMEOUT, stream.write_all(&request)).await;
            (!matches!(sent, Ok(Err(_)))).then_some(stream)
        });
    }
    clients.join_all().await.into_iter().flatten().collect()
}

/// Checks that the entry host lives, within its memory, and answers an ordinary caller.
async fn check(cell: &mut Cell) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let call = call(&client, cell.hosts[0].callers, "/slots/2", None, "0ms");
    let call = tokio::time::timeout(SEND_TIMEOUT, call).await;
    let response = call.ok().flatten().expect("an answer for an ordinary caller");
    assert!([200, 503].contains(&response.status), "{response:?}");
    assert!(cell.hosts[0].is_running(), "the process has ended");
    let process = cell.hosts[0].process.as_ref().expect("the process is running").id();
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process is running");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak of the memory");
    let peak = peak.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1024;
    println!("{peak} bytes at most");
    assert!(peak < MEMORY_BYTES, "{peak} bytes");
}

fn unfinished_chunks(head: &str, length: usize) -> Vec<u8> {
    format!("{head}Transfer-Encoding: chunked\r\n\r\n{}", "1\r\nx\r\n".repeat(length)).into_bytes()
}

fn unfinished(head: &str, length: usize) -> Vec<u8> {
    format!("{head}Content-Length: {length}\r\n\r\n{}", "x".repeat(length - 1)).into_bytes()
}

fn booking() -> String {
    format!("POST /bookings/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {}\r\n", Uuid::now_v7())
}

const CHECK: &str = "POST /slots/1 HTTP/1.1\r\nHost: a\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn keyed_bodies_in_chunks_of_one_byte_stay_within_memory() {
    let (_turn, mut cell) = start(LONG_DEADLINES).await;
    let crowd = send(cell.hosts[0].callers, (0..10).map(|_| unfinished_chunks(&booking(), 1_000_000))).await;
    check(&mut cell).await;
    drop(crowd);
    check(&mut cell).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_stay_within_memory() {
    let (_turn, mut cell) = start(LONG_DEADLINES).await;
    let crowd = send(cell.hosts[0].callers, (0..3000).map(|_| unfinished(CHECK, 64_000))).await;
    check(&mut cell).await;
    drop(crowd);
    check(&mut cell).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_callers_leave_connections_to_ordinary_ones() {
    let settings = LONG_DEADLINES.replace("connections: 4096", "connections: 200");
    let (_turn, mut cell) = start(&settings).await;
    let crowd = send(cell.hosts[0].callers, (0..400).map(|_| unfinished(CHECK, 100))).await;
    check(&mut cell).await;
    drop(crowd);
    check(&mut cell).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn clients_of_the_operators_api_stay_within_memory() {
    let (_turn, mut cell) = start(LONG_DEADLINES).await;
    let head = format!("GET /v1/health HTTP/1.1\r\nX-Filler: {}", "x".repeat(400_000));
    let crowd = send(cell.hosts[0].operators, (0..800).map(|_| head.clone().into_bytes())).await;
    check(&mut cell).await;
    drop(crowd);
    check(&mut cell).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_of_strangers_on_the_peer_port_stay_within_memory() {
    let (_turn, mut cell) = start(LONG_DEADLINES).await;
    let mut frame = 8_000_000_u32.to_be_bytes().to_vec();
    frame.resize(8_000_000, 0);
    let crowd = send(cell.hosts[0].peers, (0..60).map(|_| frame.clone())).await;
    check(&mut cell).await;
    drop(crowd);
    check(&mut cell).await;
}
