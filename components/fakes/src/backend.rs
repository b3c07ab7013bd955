//! A stand-in backend server: one instance of a service. It records which requests it ran, by their key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};
use web::Body;

const MAX_BODY: usize = 64 * 1024 * 1024;
const SLOTS: usize = 8;

/// What an instance has run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// Runs by idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// All requests.
    pub total: u64,
    /// Most requests that ran at once.
    pub peak: usize,
}

struct Shared {
    record: Mutex<Record>,
    running: AtomicUsize,
    /// Only so many requests are worked on at once; others wait.
    slots: Semaphore,
    work: Duration,
}

/// A running stand-in backend server.
#[derive(Clone)]
pub struct Backend {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Backend {
    /// Starts an instance whose answers take `work`, unless a request says otherwise in `x-work`.
    pub async fn start(address: SocketAddr, work: Duration) -> std::io::Result<Backend> {
        let (listener, address) = crate::listen(address).await?;
        let shared = Arc::new(Shared {
            record: Mutex::default(),
            running: AtomicUsize::new(0),
            slots: Semaphore::new(SLOTS),
            work,
        });
        let (stop, mut stopped) = watch::channel(false);
        let served = shared.clone();
        let handler = move |request, _| answer(served.clone(), address, request);
        let until = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        tokio::spawn(web::serve(listener, 1024, until, Duration::from_secs(10), handler));
        Ok(Backend { shared, address, stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections; requests in flight finish.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Most requests that ran at once since this was last asked.
    pub fn take_peak(&self) -> usize {
        std::mem::take(&mut self.shared.record.lock().peak)
    }

    /// What it has run.
    pub fn record(&self) -> Record {
        self.shared.record.lock().clone()
    }
}

/// A request that the instance works on; also one that is given up half-way ends.
struct Present<'a>(&'a Shared);

impl<'a> Present<'a> {
    fn new(shared: &'a Shared) -> Present<'a> {
        shared.running.fetch_add(1, Ordering::SeqCst);
        Present(shared)
    }
}

impl Drop for Present<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(shared: Arc<Shared>, address: SocketAddr, request: Request<Incoming>) -> Response<Body> {
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let key = header("idempotency-key");
    let work = header("x-work").and_then(|text| humantime::parse_duration(&text).ok()).unwrap_or(shared.work);
    let present = Present::new(&shared);
    let running = shared.running.load(Ordering::SeqCst);
    {
        let mut record = shared.record.lock();
        record.total += 1;
        record.peak = record.peak.max(running);
        if let Some(key) = &key {
            *record.by_key.entry(key.clone()).or_default() += 1;
        }
    }
    let path = request.uri().path().to_owned();
    let body = web::read_limited(request.into_body(), MAX_BODY).await.unwrap_or_default();
    if !work.is_zero() {
        let _slot = shared.slots.acquire().await;
        tokio::time::sleep(work).await;
    }
    drop(present);
    let text = String::from_utf8_lossy(&body).into_owned();
    web::json(StatusCode::OK, &serde_json::json!({ "instance": address, "path": path, "key": key, "body": text }))
}
