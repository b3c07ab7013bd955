//! A fake backend server: one instance of a service. It counts the requests that it ran by their idempotency key.

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

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const MAX_CONCURRENT: usize = 8;

/// Counts of the requests that an instance ran.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// Number of runs by idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Number of all requests.
    pub total: u64,
    /// Highest number of requests in progress at the same time, those that wait for a slot included.
    pub peak: usize,
}

struct Shared {
    record: Mutex<Record>,
    running: AtomicUsize,
    /// Limits the requests that are worked on at the same time. Others wait.
    slots: Semaphore,
    work_time: Duration,
}

/// A running fake backend server.
#[derive(Clone)]
pub struct Backend {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl Backend {
    /// Starts an instance that works on each request for `work_time`, unless the `x-work` header of the request gives
    /// another duration.
    ///
    /// # Errors
    /// If it can't listen on `address`.
    pub async fn start(address: SocketAddr, work_time: Duration) -> std::io::Result<Backend> {
        let (listener, address) = crate::listen(address).await?;
        let shared = Arc::new(Shared {
            record: Mutex::default(),
            running: AtomicUsize::new(0),
            slots: Semaphore::new(MAX_CONCURRENT),
            work_time,
        });
        let (stop, mut stopped) = watch::channel(false);
        let served = shared.clone();
        let handler = move |request, _| answer(served.clone(), address, request);
        let shutdown = async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        };
        tokio::spawn(web::serve(listener, 1024, shutdown, Duration::from_secs(10), handler));
        Ok(Backend { shared, address, stop })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections. Requests in flight are finished.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Returns the highest number of requests in progress at the same time since the last call, and resets it.
    pub fn take_peak(&self) -> usize {
        std::mem::take(&mut self.shared.record.lock().peak)
    }

    /// The requests that it has run.
    pub fn record(&self) -> Record {
        self.shared.record.lock().clone()
    }
}

/// Counts a request as in progress until it is dropped, so that a request whose client disconnects is counted out, too.
struct ActiveRequest<'a>(&'a Shared);

impl<'a> ActiveRequest<'a> {
    fn new(shared: &'a Shared) -> ActiveRequest<'a> {
        shared.running.fetch_add(1, Ordering::SeqCst);
        ActiveRequest(shared)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer(shared: Arc<Shared>, address: SocketAddr, request: Request<Incoming>) -> Response<Body> {
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let key = header("idempotency-key");
    let work_time = header("x-work").and_then(|text| humantime::parse_duration(&text).ok()).unwrap_or(shared.work_time);
    let active = ActiveRequest::new(&shared);
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
    let body = web::read_limited(request.into_body(), MAX_BODY_BYTES).await.unwrap_or_default();
    if !work_time.is_zero() {
        let _slot = shared.slots.acquire().await;
        tokio::time::sleep(work_time).await;
    }
    drop(active);
    let text = String::from_utf8_lossy(&body).into_owned();
    web::json(StatusCode::OK, &serde_json::json!({ "instance": address, "path": path, "key": key, "body": text }))
}
