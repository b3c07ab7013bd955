//! The platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use web::Body;

/// Answer time of a store without disruption.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most bytes of one value, as the settings tell them.
pub const MAX_VALUE_BYTES: usize = 1_048_576;
/// Most entries of one transaction.
const MAX_ENTRIES: usize = 32;
/// Most items and bytes of one page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Largest request: a transaction with several values in base64.
const MAX_REQUEST_BYTES: usize = 64 << 20;
const POLL: Duration = Duration::from_millis(5);

/// Encoded value, revision, revision of its creation, and lease (0 for none).
#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// By id: end and duration.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// Transactions with a value above the limit.
    too_large: usize,
    largest_refused: usize,
    /// The machine that last wrote under a condition, by the number of its listener.
    last_writer: Option<usize>,
}

pub struct Store {
    state: Mutex<State>,
    /// Whether it answers every call with 503 and does nothing; leases wait meanwhile.
    busy: AtomicBool,
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store { state: Mutex::new(State { revision: 1, ..State::default() }), busy: AtomicBool::new(false) })
    }

    /// Serves the store to one machine, at an address of its own.
    pub async fn listen(self: &Arc<Store>, ip: &str, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port for the store");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        let answer = move |request, _| {
            let store = store.clone();
            async move { store.answer(request, machine).await }
        };
        tokio::spawn(web::serve(listener, 1000, std::future::pending(), Duration::ZERO, answer));
        address
    }

    /// Writes a key as the operator or a minion does.
    pub fn write(&self, key: &str, value: &Value) {
        let mut state = self.locked();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let value = STANDARD.encode(value.to_string());
        state.items.insert(key.to_owned(), Item { value, revision, created, lease: 0 });
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.locked();
        state.revision += 1;
        state.items.remove(key);
    }

    /// Answers 503 to everything for this time, while leases wait.
    pub async fn be_busy(&self, time: Duration) {
        self.busy.store(true, Ordering::Relaxed);
        tokio::time::sleep(time).await;
        let mut state = self.state.lock().expect("the store's state");
        state.leases.values_mut().for_each(|(end, _)| *end += time);
        self.busy.store(false, Ordering::Relaxed);
    }

    /// Number of transactions that were refused because of the size of a value, and the largest such value.
    pub fn refused(&self) -> (usize, usize) {
        let state = self.locked();
        (state.too_large, state.largest_refused)
    }

    /// The machine from which the last successful write under a condition came.
    pub fn last_writer(&self) -> Option<usize> {
        self.locked().last_writer
    }

    /// Largest value under a prefix, in bytes.
    pub fn largest_value(&self, prefix: &str) -> usize {
        let state = self.locked();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        items.map(|(_, item)| item.value.len() / 4 * 3).max().unwrap_or(0)
    }

    /// Locks the state after dropping leases that are over, with their keys.
    fn locked(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("the store's state");
        if self.busy.load(Ordering::Relaxed) {
            return state;
        }
        let now = Instant::now();
        let over: Vec<u64> = state.leases.iter().filter(|(_, (end, _))| *end < now).map(|(id, _)| *id).collect();
        for lease in over {
            state.leases.remove(&lease);
            state.items.retain(|_, item| item.lease != lease);
            state.revision += 1;
        }
        state
    }

    async fn answer(&self, request: Request<Incoming>, machine: usize) -> Response<Body> {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let query = query(request.uri().query().unwrap_or_default());
        let Some(body) = web::read_limited(request.into_body(), MAX_REQUEST_BYTES).await else {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        tokio::time::sleep(ANSWER_TIME).await;
        if self.busy.load(Ordering::Relaxed) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (method, path.as_str()) {
            (Method::GET, "/kv-key") => self.key(&query),
            (Method::GET, "/kv-range") => self.range(&query),
            (Method::GET, "/kv-watch") => self.watch(&query).await,
            (Method::POST, "/kv-txn") => self.transaction(&body, machine),
            (Method::POST, "/kv-lease") => self.lease(&body),
            (Method::POST, path) if path.starts_with("/kv-keep/") => self.keep(path),
            (Method::DELETE, path) if path.starts_with("/kv-lease-end/") => self.end_lease(path),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn key(&self, query: &BTreeMap<String, String>) -> Response<Body> {
        let state = self.locked();
        let key = query.get("PrivateKey").cloned().unwrap_or_default();
        match state.items.get(&key) {
            Some(found) => web::json(StatusCode::OK, &item(&key, found)),
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> Response<Body> {
        let state = self.locked();
        let prefix = query.get("PathPrefix").cloned().unwrap_or_default();
        let after = query.get("DependsOn").cloned();
        let mut page = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, found) in state.items.range(prefix.clone()..).take_while(|(key, _)| key.starts_with(&prefix)) {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if page.len() >= PAGE_ITEMS || (!page.is_empty() && bytes + found.value.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += found.value.len();
            page.push(item(key, found));
        }
        web::json(StatusCode::OK, &json!({"items": page, "HasMore": more, "AtRevision": state.revision}))
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> Response<Body> {
        let prefix = query.get("PathPrefix").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, end) = (number("DependsOn"), Instant::now() + Duration::from_millis(number("WaitMs").min(30_000)));
        loop {
            {
                let state = self.locked();
                let changed =
                    state.items.iter().filter(|(key, item)| key.starts_with(&prefix) && item.revision > after);
                let events: Vec<Value> = changed.map(|(key, found)| item(key, found)).collect();
                if !events.is_empty() || Instant::now() >= end {
                    return web::json(StatusCode::OK, &json!({"events": events, "AtRevision": state.revision}));
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn transaction(&self, body: &Bytes, machine: usize) -> Response<Body> {
        let Ok(body) = serde_json::from_slice::<Value>(body) else { return empty(StatusCode::BAD_REQUEST) };
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, puts, removed) = (rows("ExpectedRevision"), rows("Puts"), rows("Remove"));
        let mut state = self.locked();
        let sizes = puts.iter().map(|put| STANDARD.decode(text(put, "Value")).map_or(usize::MAX, |value| value.len()));
        let largest = sizes.max().unwrap_or(0);
        if largest > MAX_VALUE_BYTES {
            state.too_large += 1;
            state.largest_refused = state.largest_refused.max(largest);
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let forbidden = puts.iter().any(|put| {
            let key = text(put, "PrivateKey");
            key.starts_with("op/") || key.starts_with("servers/")
        });
        if forbidden {
            return empty(StatusCode::FORBIDDEN);
        }
        if expected.len() + puts.len() + removed.len() > MAX_ENTRIES {
            return empty(StatusCode::BAD_REQUEST);
        }
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Value| Some(revision_of(&state, text(row, "PrivateKey"))) == row["Revision"].as_u64();
        if !expected.iter().all(holds) {
            let keys = expected.iter().map(|row| text(row, "PrivateKey"));
            let items: Vec<Value> = keys.filter_map(|key| state.items.get(key).map(|found| item(key, found))).collect();
            return web::json(StatusCode::PRECONDITION_FAILED, &json!({"items": items}));
        }
        let lease = |put: &Value| put["LeaseId"].as_u64().unwrap_or(0);
        if puts.iter().any(|put| lease(put) != 0 && !state.leases.contains_key(&lease(put))) {
            return empty(StatusCode::NOT_FOUND);
        }
        state.revision += 1;
        let revision = state.revision;
        for put in &puts {
            let key = text(put, "PrivateKey").to_owned();
            let created = state.items.get(&key).map_or(revision, |item| item.created);
            let put = Item { value: text(put, "Value").to_owned(), revision, created, lease: lease(put) };
            state.items.insert(key, put);
        }
        for key in removed.iter().filter_map(Value::as_str) {
            state.items.remove(key);
        }
        if !expected.is_empty() {
            state.last_writer = Some(machine);
        }
        web::json(StatusCode::OK, &json!({"Revision": revision}))
    }

    fn lease(&self, body: &Bytes) -> Response<Body> {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let ttl = Duration::from_millis(body["TtlMs"].as_u64().unwrap_or(0).clamp(1000, 600_000));
        let mut state = self.locked();
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        web::json(StatusCode::OK, &json!({"LeaseId": id, "TtlMs": ttl.as_millis() as u64}))
    }

    fn keep(&self, path: &str) -> Response<Body> {
        match self.locked().leases.get_mut(&last_number(path)) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                web::json(StatusCode::OK, &json!({"TtlMs": ttl.as_millis() as u64}))
            }
            None => empty(StatusCode::NOT_FOUND),
        }
    }

    fn end_lease(&self, path: &str) -> Response<Body> {
        let id = last_number(path);
        let mut state = self.locked();
        if state.leases.remove(&id).is_some() {
            state.items.retain(|_, item| item.lease != id);
            state.revision += 1;
        }
        empty(StatusCode::OK)
    }
}

pub fn empty(status: StatusCode) -> Response<Body> {
    web::json(status, &json!({}))
}

fn text<'a>(row: &'a Value, name: &str) -> &'a str {
    row[name].as_str().unwrap_or_default()
}

fn item(key: &str, item: &Item) -> Value {
    json!({"PrivateKey": key, "Value": item.value, "Revision": item.revision, "CreatedRevision": item.created,
        "LeaseId": item.lease})
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    let decoded = |value: &str| percent_decode_str(value).decode_utf8_lossy().into_owned();
    pairs.map(|(name, value)| (name.to_owned(), decoded(value))).collect()
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
