//! The platform's store and advice service.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{self, Answer, Request};

/// Most items of a page.
const PAGE: usize = 500;
/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

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
    /// By id: end and time to live.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// Removed keys with the revision of their removal.
    removed: Vec<(String, u64)>,
    /// Since when the store is down.
    down_since: Option<Instant>,
}

pub struct Store {
    pub address: String,
    state: Mutex<State>,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let store = Arc::new(Store { address, state: Mutex::new(State::default()) });
        let serving = store.clone();
        http::serve(listener, move |request| serving.answer(&request));
        store
    }

    /// Takes the store down: it resets all channels. Leases wait meanwhile.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().expect("state");
        match (down, state.down_since.take()) {
            (true, since) => state.down_since = Some(since.unwrap_or_else(Instant::now)),
            (false, Some(since)) => {
                let lasted = since.elapsed();
                state.leases.values_mut().for_each(|(end, _)| *end += lasted);
            }
            (false, None) => {}
        }
    }

    fn is_down(&self) -> bool {
        self.state.lock().expect("state").down_since.is_some()
    }

    /// Writes a key as the operator or a minion does.
    pub fn write(&self, key: &str, value: &Value) {
        let mut state = self.state.lock().expect("state");
        state.revision += 1;
        let revision = state.revision;
        put(&mut state, key, STANDARD.encode(value.to_string()), revision, 0);
    }

    /// Removes a key as the platform does.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().expect("state");
        state.revision += 1;
        let revision = state.revision;
        remove(&mut state, key, revision);
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.path == "/advise" {
            return self.advise(request);
        }
        if self.is_down() {
            return Answer::Reset;
        }
        std::thread::sleep(ANSWER_TIME);
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transaction(request),
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end(path),
            _ => reply(404, &json!({})),
        };
        if self.is_down() { Answer::Reset } else { answer }
    }

    fn advise(&self, request: &Request) -> Answer {
        let body = body(request);
        let workers = body["Workers"].as_array().cloned().unwrap_or_default();
        let rows: Vec<Value> = workers.into_iter().map(|worker| json!([worker, "ticket"])).collect();
        reply(200, &json!({"Healthy": rows}))
    }

    fn range(&self, request: &Request) -> Answer {
        let state = self.unexpired();
        let prefix = request.parameter("PathPrefix").unwrap_or_default();
        let after = request.parameter("DependsOn").unwrap_or_default();
        let mut found = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<Value> = found.by_ref().take(PAGE).map(|(key, item)| row(key, item)).collect();
        reply(200, &json!({"items": page, "HasMore": found.next().is_some(), "AtRevision": state.revision}))
    }

    fn watch(&self, request: &Request) -> Answer {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let prefix = request.parameter("PathPrefix").unwrap_or_default();
        let (after, end) = (number("DependsOn"), Instant::now() + Duration::from_millis(number("WaitMs")));
        let mut state = self.unexpired();
        loop {
            if state.down_since.is_some() {
                return Answer::Reset;
            }
            let items = state.items.iter().filter(|(key, item)| key.starts_with(prefix) && item.revision > after);
            let mut events: Vec<Value> = items.map(|(key, item)| row(key, item)).collect();
            let gone = state.removed.iter().filter(|(key, at)| key.starts_with(prefix) && *at > after);
            events.extend(gone.map(|(key, at)| json!({"PrivateKey": key, "Revision": at, "Compacted": true})));
            if !events.is_empty() || Instant::now() >= end {
                return reply(200, &json!({"events": events, "AtRevision": state.revision}));
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(5));
            state = self.unexpired();
        }
    }

    /// The state without the leases that are over, and their keys.
    fn unexpired(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("state");
        if state.down_since.is_none() {
            let now = Instant::now();
            let over: Vec<u64> = state.leases.iter().filter(|(_, (end, _))| *end < now).map(|(id, _)| *id).collect();
            over.into_iter().for_each(|id| end_lease(&mut state, id));
        }
        state
    }

    fn transaction(&self, request: &Request) -> Answer {
        let body = body(request);
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, puts, removes) = (rows("ExpectedRevision"), rows("Puts"), rows("Remove"));
        if expected.len() + puts.len() + removes.len() > 32 {
            return reply(400, &json!({}));
        }
        let mut state = self.unexpired();
        let key = |row: &Value| row["PrivateKey"].as_str().unwrap_or_default().to_owned();
        let holds =
            |row: &Value| Some(state.items.get(&key(row)).map_or(0, |item| item.revision)) == row["Revision"].as_u64();
        if !expected.iter().all(holds) {
            let current = expected.iter().filter_map(|row| state.items.get_key_value(&key(row)));
            let current: Vec<Value> = current.map(|(key, item)| crate::store::row(key, item)).collect();
            return reply(412, &json!({"items": current}));
        }
        let lease = |row: &Value| row["LeaseId"].as_u64().unwrap_or(0);
        if puts.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
            return reply(404, &json!({}));
        }
        state.revision += 1;
        let revision = state.revision;
        for row in &puts {
            put(&mut state, &key(row), row["Value"].as_str().unwrap_or_default().to_owned(), revision, lease(row));
        }
        for name in &removes {
            remove(&mut state, name.as_str().unwrap_or_default(), revision);
        }
        reply(200, &json!({"Revision": revision}))
    }

    fn grant(&self, request: &Request) -> Answer {
        let ttl = Duration::from_millis(body(request)["TtlMs"].as_u64().unwrap_or(1000).max(1000));
        let mut state = self.unexpired();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        reply(200, &json!({"LeaseId": id, "TtlMs": ttl.as_millis() as u64}))
    }

    fn keep(&self, path: &str) -> Answer {
        let mut state = self.unexpired();
        match state.leases.get_mut(&last_number(path)) {
            None => reply(404, &json!({})),
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                reply(200, &json!({"TtlMs": ttl.as_millis() as u64}))
            }
        }
    }

    fn end(&self, path: &str) -> Answer {
        let mut state = self.unexpired();
        end_lease(&mut state, last_number(path));
        reply(200, &json!({}))
    }
}

fn put(state: &mut State, key: &str, value: String, revision: u64, lease: u64) {
    let created = state.items.get(key).map_or(revision, |item| item.created);
    state.items.insert(key.to_owned(), Item { value, revision, created, lease });
}

fn remove(state: &mut State, key: &str, revision: u64) {
    if state.items.remove(key).is_some() {
        state.removed.push((key.to_owned(), revision));
    }
}

fn end_lease(state: &mut State, id: u64) {
    if state.leases.remove(&id).is_none() {
        return;
    }
    state.revision += 1;
    let revision = state.revision;
    let keys: Vec<String> =
        state.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
    keys.iter().for_each(|key| remove(state, key, revision));
}

fn row(key: &str, item: &Item) -> Value {
    json!({"PrivateKey": key, "Value": item.value, "Revision": item.revision, "CreatedRevision": item.created,
        "LeaseId": item.lease})
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

pub fn body(request: &Request) -> Value {
    serde_json::from_slice(&request.body).unwrap_or(Value::Null)
}

pub fn reply(status: u16, body: &Value) -> Answer {
    Answer::Reply(status, body.to_string())
}
