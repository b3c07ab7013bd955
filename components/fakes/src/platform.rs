//! A fake platform: an in-memory implementation of the part of the etcd v3 JSON gateway that is in use, and the list of
//! hosts. It counts calls and can simulate an outage, slow or lost answers, expired leases and a compacted history.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};
use store::gateway::{
    Base64, ErrorBody, Header, KeyValue, LeaseRequest, LeaseResponse, Number, Operation, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse, WatchEvent, WatchLine, WatchRequest, WatchResult,
};
use store::{Host, List};
use tokio::sync::{mpsc, watch};
use web::Body;

const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Faults that the platform simulates. Also the body of `POST /control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Connections are accepted and never answered.
    pub down: bool,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of next transactions that take effect but are never answered.
    pub lose_answers: u32,
    /// Expires all leases at once.
    pub lapse_leases: bool,
    /// Discards the history of changes so far, so that watches from an earlier revision fail and must read again.
    pub compact: bool,
}

/// Counts of calls so far. Also the body of `GET /counts`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Number of calls by path.
    pub calls: BTreeMap<String, u64>,
    /// Number of open watches.
    pub watches: u64,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    key: Vec<u8>,
    value: Option<Vec<u8>>,
}

struct Stored {
    value: Vec<u8>,
    mod_revision: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct State {
    keys: BTreeMap<Vec<u8>, Stored>,
    history: Vec<Change>,
    compacted: u64,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    list: List,
    /// Further entries of the list, as raw JSON.
    raw_hosts: Vec<Box<RawValue>>,
    control: Control,
    counts: Counts,
}

/// The list of hosts in an answer.
#[derive(Serialize)]
struct ListBody {
    version: u64,
    hosts: Vec<Box<RawValue>>,
}

/// Another address of a platform, which can be cut off on its own.
pub struct Endpoint {
    /// The address that it listens on.
    pub address: SocketAddr,
    cut_off: Arc<AtomicBool>,
}

impl Endpoint {
    /// Cuts this address and the watches opened through it off, or restores it.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::Relaxed);
    }
}

struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
}

/// A running fake platform.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Platform {
    /// Starts a platform at `address`, which may have port 0.
    ///
    /// # Errors
    /// If it can't listen on `address`.
    pub async fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let (listener, address) = crate::listen(address).await?;
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), revision: watch::Sender::new(1) });
        tokio::spawn(expire_leases(shared.clone()));
        let served = shared.clone();
        let handler = move |request, _| handle_request(served.clone(), request);
        tokio::spawn(web::serve(listener, 4096, pending(), Duration::ZERO, handler));
        Ok(Platform { shared, address })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens another address of the same store, which can be cut off on its own.
    ///
    /// # Errors
    /// If no port can be opened.
    pub async fn add_endpoint(&self) -> std::io::Result<Endpoint> {
        let (listener, address) = crate::listen(crate::any_port()).await?;
        let cut_off = Arc::new(AtomicBool::new(false));
        let (shared, flag) = (self.shared.clone(), cut_off.clone());
        let handler = move |request, _| {
            let (shared, flag) = (shared.clone(), flag.clone());
            async move {
                if flag.load(Ordering::Relaxed) {
                    pending::<()>().await;
                }
                handle_endpoint_request(shared, request, Some(flag)).await
            }
        };
        tokio::spawn(web::serve(listener, 4096, pending(), Duration::ZERO, handler));
        Ok(Endpoint { address, cut_off })
    }

    /// Sets the faults that it simulates from now on.
    pub fn control(&self, control: Control) {
        apply_control(&self.shared, control);
    }

    /// Adds a host to the list, or replaces the one with the same name.
    pub fn add_host(&self, host: Host) {
        add_to_list(&self.shared, host);
    }

    /// Adds an entry to the list as it is.
    ///
    /// # Errors
    /// If it isn't JSON.
    pub fn add_raw_host(&self, json: String) -> serde_json::Result<()> {
        let mut state = self.shared.state.lock();
        state.raw_hosts.push(RawValue::from_string(json)?);
        state.list.version += 1;
        Ok(())
    }

    /// Replaces the entry of a host by one that can't be read.
    pub fn invalidate_host(&self, name: &str) {
        let entry = to_raw_value(&serde_json::json!({"name": name, "address": "127.0.0.1:70000"}));
        let mut state = self.shared.state.lock();
        state.list.hosts.retain(|known| known.name != name);
        state.raw_hosts.extend(entry);
        state.list.version += 1;
    }

    /// Removes a host from the list.
    pub fn remove_host(&self, name: &str) {
        let mut state = self.shared.state.lock();
        state.list.hosts.retain(|known| known.name != name);
        state.list.version += 1;
    }

    /// Counts of calls so far.
    pub fn counts(&self) -> Counts {
        self.shared.state.lock().counts.clone()
    }

    /// The value of a key, as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.state.lock();
        state.keys.get(key.as_bytes()).map(|stored| String::from_utf8_lossy(&stored.value).into_owned())
    }
}

fn add_to_list(shared: &Shared, host: Host) {
    let mut state = shared.state.lock();
    state.list.hosts.retain(|known| known.name != host.name);
    state.list.hosts.push(host);
    state.list.version += 1;
}

fn apply_control(shared: &Shared, control: Control) {
    let mut state = shared.state.lock();
    if control.lapse_leases {
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| remove_lease(&mut state, lease));
    }
    if control.compact {
        state.compacted = state.revision;
        state.history.clear();
    }
    state.control = Control { lapse_leases: false, compact: false, ..control };
    shared.revision.send_replace(state.revision);
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let mut state = shared.state.lock();
        let now = Instant::now();
        let expired: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.expires_at <= now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|lease| remove_lease(&mut state, lease));
        shared.revision.send_replace(state.revision);
    }
}

fn remove_lease(state: &mut State, lease: u64) {
    state.leases.remove(&lease);
    let keys: Vec<Vec<u8>> =
        state.keys.iter().filter(|(_, stored)| stored.lease == lease).map(|(key, _)| key.clone()).collect();
    if keys.is_empty() {
        return;
    }
    state.revision += 1;
    keys.into_iter().for_each(|key| delete(state, key));
}

fn delete(state: &mut State, key: Vec<u8>) {
    if state.keys.remove(&key).is_some() {
        let revision = state.revision;
        state.history.push(Change { revision, key, value: None });
    }
}

async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    handle_endpoint_request(shared, request, None).await
}

async fn handle_endpoint_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    cut_off: Option<Arc<AtomicBool>>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().map(str::to_owned);
    let is_control_call = matches!(path.as_str(), "/control" | "/counts" | "/list");
    let (down, delay) = {
        let mut state = shared.state.lock();
        if !is_control_call {
            *state.counts.calls.entry(path.clone()).or_default() += 1;
        }
        (state.control.down && !is_control_call, Duration::from_millis(state.control.delay_ms))
    };
    if down {
        pending::<()>().await;
    }
    if !is_control_call && !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match path.as_str() {
        "/v3/kv/range" => with_body(request, |body| range(&shared, body)).await,
        "/v3/kv/txn" => transaction(&shared, request).await,
        "/v3/lease/grant" => with_body(request, |body| grant(&shared, body)).await,
        "/v3/lease/keepalive" => with_body(request, |body| keepalive(&shared, body)).await,
        "/v3/lease/revoke" => with_body(request, |body| revoke(&shared, body)).await,
        "/v3/watch" => start_watch(shared, request, cut_off).await,
        "/v1/hosts" => list_hosts(&shared, query.as_deref()),
        "/counts" => web::json(StatusCode::OK, &shared.state.lock().counts),
        "/list" => {
            with_body(request, |host| {
                add_to_list(&shared, host);
                web::json(StatusCode::OK, &())
            })
            .await
        }
        "/control" => {
            with_body(request, |control| {
                apply_control(&shared, control);
                web::json(StatusCode::OK, &())
            })
            .await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    web::json(status, &ErrorBody { code: 3, message: message.to_owned(), rest: BTreeMap::new() })
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = web::read_limited(request.into_body(), MAX_BODY_BYTES).await?;
    serde_json::from_slice(&bytes).ok()
}

async fn with_body<T: DeserializeOwned>(
    request: Request<Incoming>,
    handle: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match read(request).await {
        Some(body) => handle(body),
        None => error_response(StatusCode::BAD_REQUEST, "unreadable body"),
    }
}

/// Answers with the list of hosts, or only with its version if the caller knows that already.
fn list_hosts(shared: &Shared, query: Option<&str>) -> Response<Body> {
    let state = shared.state.lock();
    let known = query.and_then(|query| query.strip_prefix("known=")).and_then(|known| known.parse::<u64>().ok());
    if known == Some(state.list.version) {
        return web::json(StatusCode::OK, &ListBody { version: state.list.version, hosts: Vec::new() });
    }
    let hosts = state.list.hosts.iter().map(|host| to_raw_value(host).expect("a host is serializable"));
    let hosts: Vec<Box<RawValue>> = hosts.chain(state.raw_hosts.iter().cloned()).collect();
    web::json(StatusCode::OK, &ListBody { version: state.list.version, hosts })
}

fn in_range(key: &[u8], request: &RangeRequest) -> bool {
    if request.range_end.0.is_empty() {
        return key == request.key.0;
    }
    key >= request.key.0.as_slice() && (request.range_end.0 == [0] || key < request.range_end.0.as_slice())
}

fn header(state: &State) -> Header {
    Header { revision: Number(state.revision) }
}

fn key_value(key: &[u8], value: &[u8], revision: u64) -> KeyValue {
    KeyValue { key: Base64(key.to_vec()), value: Base64(value.to_vec()), mod_revision: Number(revision) }
}

fn range(shared: &Shared, request: RangeRequest) -> Response<Body> {
    let state = shared.state.lock();
    let found = state.keys.iter().filter(|(key, _)| in_range(key, &request));
    let kvs = found.map(|(key, stored)| key_value(key, &stored.value, stored.mod_revision)).collect();
    web::json(StatusCode::OK, &RangeResponse { header: header(&state), kvs })
}

async fn transaction(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let Some(body) = read::<TxnRequest>(request).await else {
        return error_response(StatusCode::BAD_REQUEST, "unreadable body");
    };
    let (answer, lost) = commit(shared, body);
    if lost {
        pending::<()>().await;
    }
    answer
}

fn commit(shared: &Shared, request: TxnRequest) -> (Response<Body>, bool) {
    let mut state = shared.state.lock();
    for operation in &request.success {
        if let Operation::Put(put) = operation
            && put.value.0.len() > store::MAX_VALUE
        {
            return (error_response(StatusCode::BAD_REQUEST, "value too large"), false);
        }
        if let Operation::Put(put) = operation
            && put.lease.0 != 0
            && !state.leases.contains_key(&put.lease.0)
        {
            return (error_response(StatusCode::BAD_REQUEST, "requested lease not found"), false);
        }
    }
    let succeeded = request.compare.iter().all(|compare| {
        let revision = state.keys.get(&compare.key.0).map_or(0, |stored| stored.mod_revision);
        revision == compare.mod_revision.0
    });
    if succeeded && !request.success.is_empty() {
        state.revision += 1;
        request.success.into_iter().for_each(|operation| apply(&mut state, operation));
    }
    shared.revision.send_replace(state.revision);
    let lost = state.control.lose_answers > 0;
    state.control.lose_answers = state.control.lose_answers.saturating_sub(1);
    (web::json(StatusCode::OK, &TxnResponse { header: header(&state), succeeded }), lost)
}

fn apply(state: &mut State, operation: Operation) {
    match operation {
        Operation::Put(put) => {
            let revision = state.revision;
            let stored = Stored { value: put.value.0.clone(), mod_revision: revision, lease: put.lease.0 };
            state.keys.insert(put.key.0.clone(), stored);
            state.history.push(Change { revision, key: put.key.0, value: Some(put.value.0) });
        }
        Operation::Delete(request) => delete(state, request.key.0),
    }
}

fn grant(shared: &Shared, request: LeaseRequest) -> Response<Body> {
    let mut state = shared.state.lock();
    state.last_lease += 1;
    let id = state.last_lease;
    let ttl = Duration::from_secs(request.ttl.0);
    state.leases.insert(id, Lease { ttl, expires_at: Instant::now() + ttl });
    web::json(StatusCode::OK, &LeaseResponse { id: Number(id), ttl: request.ttl })
}

fn keepalive(shared: &Shared, request: LeaseRequest) -> Response<Body> {
    let mut state = shared.state.lock();
    let ttl = state.leases.get_mut(&request.id.0).map_or(0, |lease| {
        lease.expires_at = Instant::now() + lease.ttl;
        lease.ttl.as_secs()
    });
    web::json(StatusCode::OK, &LeaseResponse { id: request.id, ttl: Number(ttl) })
}

fn revoke(shared: &Shared, request: LeaseRequest) -> Response<Body> {
    let mut state = shared.state.lock();
    remove_lease(&mut state, request.id.0);
    shared.revision.send_replace(state.revision);
    web::json(StatusCode::OK, &LeaseResponse { id: request.id, ttl: Number(0) })
}

async fn start_watch(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    cut_off: Option<Arc<AtomicBool>>,
) -> Response<Body> {
    let Some(request) = read::<WatchRequest>(request).await else {
        return error_response(StatusCode::BAD_REQUEST, "unreadable body");
    };
    let (sender, mut receiver) = mpsc::channel::<Bytes>(16);
    shared.state.lock().counts.watches += 1;
    tokio::spawn(async move {
        send_changes(&shared, request, sender, cut_off.as_deref()).await;
        shared.state.lock().counts.watches -= 1;
    });
    let stream = futures_util::stream::poll_fn(move |context| {
        receiver.poll_recv(context).map(|line| line.map(|line| Ok::<_, hyper::Error>(Frame::data(line))))
    });
    Response::new(StreamBody::new(stream).boxed())
}

async fn send_changes(
    shared: &Shared,
    request: WatchRequest,
    sender: mpsc::Sender<Bytes>,
    cut_off: Option<&AtomicBool>,
) {
    let create = request.create_request;
    let wanted = RangeRequest { key: create.key, range_end: create.range_end };
    let mut next = create.start_revision.0;
    let mut revisions = shared.revision.subscribe();
    loop {
        if cut_off.is_some_and(|flag| flag.load(Ordering::Relaxed)) {
            return;
        }
        let (down, result) = {
            let state = shared.state.lock();
            (state.control.down, changes(&state, &wanted, &mut next))
        };
        let ended = result.compact_revision.0 > 0;
        let line = serde_json::to_vec(&WatchLine { result }).unwrap_or_default();
        if !down && sender.send(Bytes::from([line, b"\n".to_vec()].concat())).await.is_err() {
            return;
        }
        if ended {
            return;
        }
        let next_change = async {
            while let Ok(()) = revisions.changed().await {
                if *revisions.borrow() >= next {
                    return;
                }
            }
        };
        tokio::select! {
            _ = tokio::time::timeout(PROGRESS_INTERVAL, next_change) => {}
            () = sender.closed() => return,
        }
    }
}

/// The changes from revision `next` on. Advances `next` past the current revision.
fn changes(state: &State, wanted: &RangeRequest, next: &mut u64) -> WatchResult {
    if *next <= state.compacted {
        return WatchResult { compact_revision: Number(state.compacted + 1), canceled: true, ..WatchResult::default() };
    }
    let new = state.history.iter().filter(|change| change.revision >= *next && in_range(&change.key, wanted));
    let events = new.map(|change| WatchEvent {
        kind: if change.value.is_none() { "DELETE".to_owned() } else { String::new() },
        kv: key_value(&change.key, change.value.as_deref().unwrap_or_default(), change.revision),
    });
    let result = WatchResult { header: header(state), events: events.collect(), ..WatchResult::default() };
    *next = state.revision + 1;
    result
}
