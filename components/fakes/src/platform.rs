//! A stand-in platform: the subset of the etcd v3 JSON gateway in use, kept in memory, and the list of hosts.
//! It counts calls and can be told to go down, be slow, lose answers or lapse leases.

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
use store::gateway::{
    Base64, Failure, Header, KeyValue, LeaseRequest, LeaseResponse, Number, Operation, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse, WatchEvent, WatchLine, WatchRequest, WatchResult,
};
use store::{Host, List};
use tokio::sync::{mpsc, watch};
use web::Body;

const MAX_BODY: usize = 32 * 1024 * 1024;
const LAPSE_EVERY: Duration = Duration::from_millis(100);
const PROGRESS_EVERY: Duration = Duration::from_millis(500);

/// What the platform is told to do wrong. Also the body of `POST /control`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Connections are accepted and never answered.
    pub down: bool,
    /// Each answer waits for so long, in milliseconds.
    pub delay_ms: u64,
    /// So many transactions take effect without an answer.
    pub lose_answers: u32,
    /// All leases lapse now.
    pub lapse_leases: bool,
    /// History before this point is forgotten, so that watches from earlier must read anew.
    pub compact: bool,
}

/// Calls so far. Also the body of `GET /counts`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Calls by path.
    pub calls: BTreeMap<String, u64>,
    /// Watches that wait now.
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
    until: Instant,
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
    control: Control,
    counts: Counts,
}

/// Another address of a platform.
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Endpoint {
    /// Cuts it off, also the watches that go through it, or opens it again.
    pub fn set_cut_off(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
}

/// A running stand-in platform.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Platform {
    /// Starts a platform at `address`, which may have port 0.
    pub async fn start(address: SocketAddr) -> std::io::Result<Platform> {
        let (listener, address) = crate::listen(address).await?;
        let state = State { revision: 1, ..State::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), revision: watch::Sender::new(1) });
        tokio::spawn(lapse(shared.clone()));
        let served = shared.clone();
        let handler = move |request, _| answer(served.clone(), request);
        tokio::spawn(web::serve(listener, 4096, pending(), Duration::ZERO, handler));
        Ok(Platform { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens another address that leads to the same store, and that can be cut off on its own.
    pub async fn add_endpoint(&self) -> std::io::Result<Endpoint> {
        let (listener, address) = crate::listen(crate::any_port()).await?;
        let cut = Arc::new(AtomicBool::new(false));
        let (shared, closed) = (self.shared.clone(), cut.clone());
        let handler = move |request, _| {
            let (shared, closed) = (shared.clone(), closed.clone());
            async move {
                if closed.load(Ordering::Relaxed) {
                    pending::<()>().await;
                }
                answer_through(shared, request, Some(closed)).await
            }
        };
        tokio::spawn(web::serve(listener, 4096, pending(), Duration::ZERO, handler));
        Ok(Endpoint { address, cut })
    }

    /// Changes what it does wrong.
    pub fn control(&self, control: Control) {
        apply_control(&self.shared, control);
    }

    /// Adds a host to the list, or replaces it.
    pub fn add_host(&self, host: Host) {
        add_to_list(&self.shared, host);
    }

    /// Takes a host off the list.
    pub fn remove_host(&self, name: &str) {
        let mut state = self.shared.state.lock();
        state.list.hosts.retain(|known| known.name != name);
        state.list.version += 1;
    }

    /// Calls so far.
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
        let all: Vec<u64> = state.leases.keys().copied().collect();
        all.into_iter().for_each(|lease| end_lease(&mut state, lease));
    }
    if control.compact {
        state.compacted = state.revision;
        state.history.clear();
    }
    state.control = Control { lapse_leases: false, compact: false, ..control };
    shared.revision.send_replace(state.revision);
}

async fn lapse(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LAPSE_EVERY).await;
        let mut state = shared.state.lock();
        let now = Instant::now();
        let lapsed: Vec<u64> = state.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        lapsed.into_iter().for_each(|lease| end_lease(&mut state, lease));
        shared.revision.send_replace(state.revision);
    }
}

fn end_lease(state: &mut State, lease: u64) {
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

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    answer_through(shared, request, None).await
}

async fn answer_through(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    door: Option<Arc<AtomicBool>>,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().map(str::to_owned);
    let operator = matches!(path.as_str(), "/control" | "/counts" | "/list");
    let (down, delay) = {
        let mut state = shared.state.lock();
        if !operator {
            *state.counts.calls.entry(path.clone()).or_default() += 1;
        }
        (state.control.down && !operator, Duration::from_millis(state.control.delay_ms))
    };
    if down {
        pending::<()>().await;
    }
    if !operator && !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match path.as_str() {
        "/v3/kv/range" => with(request, |body| range(&shared, body)).await,
        "/v3/kv/txn" => transaction(&shared, request).await,
        "/v3/lease/grant" => with(request, |body| grant(&shared, body)).await,
        "/v3/lease/keepalive" => with(request, |body| keepalive(&shared, body)).await,
        "/v3/lease/revoke" => with(request, |body| revoke(&shared, body)).await,
        "/v3/watch" => start_watch(shared, request, door).await,
        "/v1/hosts" => hosts(&shared, query.as_deref()),
        "/counts" => web::json(StatusCode::OK, &shared.state.lock().counts),
        "/list" => {
            with(request, |host| {
                add_to_list(&shared, host);
                web::json(StatusCode::OK, &())
            })
            .await
        }
        "/control" => {
            with(request, |control| {
                apply_control(&shared, control);
                web::json(StatusCode::OK, &())
            })
            .await
        }
        _ => refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn refuse(status: StatusCode, message: &str) -> Response<Body> {
    web::json(status, &Failure { code: 3, message: message.to_owned(), rest: BTreeMap::new() })
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = web::read_limited(request.into_body(), MAX_BODY).await?;
    serde_json::from_slice(&bytes).ok()
}

async fn with<T: DeserializeOwned>(
    request: Request<Incoming>,
    act: impl FnOnce(T) -> Response<Body>,
) -> Response<Body> {
    match read(request).await {
        Some(body) => act(body),
        None => refuse(StatusCode::BAD_REQUEST, "unreadable body"),
    }
}

/// The list, without hosts when the asker knows this version.
fn hosts(shared: &Shared, query: Option<&str>) -> Response<Body> {
    let state = shared.state.lock();
    let known = query.and_then(|query| query.strip_prefix("known=")).and_then(|known| known.parse::<u64>().ok());
    if known == Some(state.list.version) {
        return web::json(StatusCode::OK, &List { version: state.list.version, hosts: Vec::new() });
    }
    web::json(StatusCode::OK, &state.list)
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
        return refuse(StatusCode::BAD_REQUEST, "unreadable body");
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
            return (refuse(StatusCode::BAD_REQUEST, "value too large"), false);
        }
        if let Operation::Put(put) = operation
            && put.lease.0 != 0
            && !state.leases.contains_key(&put.lease.0)
        {
            return (refuse(StatusCode::BAD_REQUEST, "requested lease not found"), false);
        }
    }
    let succeeded = request.compare.iter().all(|compare| {
        let revision = state.keys.get(&compare.key.0).map_or(0, |stored| stored.mod_revision);
        revision == compare.mod_revision.0
    });
    if succeeded && !request.success.is_empty() {
        state.revision += 1;
        request.success.into_iter().for_each(|operation| carry_out(&mut state, operation));
    }
    shared.revision.send_replace(state.revision);
    let lost = state.control.lose_answers > 0;
    state.control.lose_answers = state.control.lose_answers.saturating_sub(1);
    (web::json(StatusCode::OK, &TxnResponse { header: header(&state), succeeded }), lost)
}

fn carry_out(state: &mut State, operation: Operation) {
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
    state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
    web::json(StatusCode::OK, &LeaseResponse { id: Number(id), ttl: request.ttl })
}

fn keepalive(shared: &Shared, request: LeaseRequest) -> Response<Body> {
    let mut state = shared.state.lock();
    let ttl = state.leases.get_mut(&request.id.0).map_or(0, |lease| {
        lease.until = Instant::now() + lease.ttl;
        lease.ttl.as_secs()
    });
    web::json(StatusCode::OK, &LeaseResponse { id: request.id, ttl: Number(ttl) })
}

fn revoke(shared: &Shared, request: LeaseRequest) -> Response<Body> {
    let mut state = shared.state.lock();
    end_lease(&mut state, request.id.0);
    shared.revision.send_replace(state.revision);
    web::json(StatusCode::OK, &LeaseResponse { id: request.id, ttl: Number(0) })
}

async fn start_watch(shared: Arc<Shared>, request: Request<Incoming>, door: Option<Arc<AtomicBool>>) -> Response<Body> {
    let Some(request) = read::<WatchRequest>(request).await else {
        return refuse(StatusCode::BAD_REQUEST, "unreadable body");
    };
    let (sender, mut receiver) = mpsc::channel::<Bytes>(16);
    shared.state.lock().counts.watches += 1;
    tokio::spawn(async move {
        send_changes(&shared, request, sender, door.as_deref()).await;
        shared.state.lock().counts.watches -= 1;
    });
    let stream = futures_util::stream::poll_fn(move |context| {
        receiver.poll_recv(context).map(|line| line.map(|line| Ok::<_, hyper::Error>(Frame::data(line))))
    });
    Response::new(StreamBody::new(stream).boxed())
}

async fn send_changes(shared: &Shared, request: WatchRequest, sender: mpsc::Sender<Bytes>, door: Option<&AtomicBool>) {
    let create = request.create_request;
    let wanted = RangeRequest { key: create.key, range_end: create.range_end };
    let mut next = create.start_revision.0;
    let mut revisions = shared.revision.subscribe();
    loop {
        if door.is_some_and(|cut| cut.load(Ordering::Relaxed)) {
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
        let moved = async {
            while let Ok(()) = revisions.changed().await {
                if *revisions.borrow() >= next {
                    return;
                }
            }
        };
        tokio::select! {
            _ = tokio::time::timeout(PROGRESS_EVERY, moved) => {}
            () = sender.closed() => return,
        }
    }
}

/// Changes from `next` on; moves `next` beyond them.
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
