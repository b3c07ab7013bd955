//! Requests that must not run twice, identified by an idempotency key. Each key has one owner host, which records the
//! key before dispatch, sends the request to one instance once, and stores the response for duplicates.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use member::highest_ranked;
use model::DataCentreId;
use parking_lot::Mutex;
use request::{BeginOutcome, ClassIndex, IdempotencyKey, IdempotencyStore, KeyStatus, SlotRequest};
use tokio::sync::watch;
use web::{Body, Reservation};

use crate::accept::{CheckedRequest, Source, hosts_in, may_relay};
use crate::dispatch::{DispatchOutcome, ReadError, dispatch, read_whole, strip_headers};
use crate::relay::RelayOutcome;
use crate::state::{Gateway, MAX_CLOCK_SKEW};
use crate::{body, response};

const KEY_HEADER: &str = "idempotency-key";
/// Largest body of a request with a key: it is kept in memory until it has been sent.
const MAX_BODY: usize = 1024 * 1024;
/// Number of shards of the stored keys, each under its own lock.
const SHARD_COUNT: usize = 16;
/// Keys per shard and bytes of their responses: 32,768 keys and 4 MiB in all shards. At these limits new keys are
/// refused.
const MAX_KEYS_PER_SHARD: usize = 2048;
const MAX_BYTES_PER_SHARD: usize = 256 * 1024;
/// Time after which a caller should retry if the outcome of its request could not be determined.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response stored for duplicates of its request.
#[derive(Clone, Debug)]
pub(crate) struct StoredResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoredResponse {
    /// Approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }

    fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(web::full(self.body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }
}

/// The result of the one run of a key.
#[derive(Clone, Debug)]
enum RunResult {
    Answered(Arc<StoredResponse>),
    NotRun(String, Duration),
    Unknown(String),
}

impl RunResult {
    fn to_response(&self) -> Response<Body> {
        match self {
            RunResult::Answered(stored) => stored.to_response(),
            RunResult::NotRun(reason, retry_after) => response::not_run(reason, *retry_after),
            RunResult::Unknown(reason) => response::unknown(StatusCode::GATEWAY_TIMEOUT, reason, None),
        }
    }
}

pub(crate) struct Shard {
    pub(crate) store: IdempotencyStore<Arc<StoredResponse>>,
    running: HashMap<IdempotencyKey, watch::Receiver<Option<RunResult>>>,
}

/// The idempotency keys that this host owns.
pub(crate) struct KeyShards {
    shards: Vec<Mutex<Shard>>,
    max_stored_response: usize,
}

impl KeyShards {
    pub(crate) fn new(limits: &settings::Requests) -> KeyShards {
        let shard = || Shard {
            store: IdempotencyStore::new(limits.key_window, MAX_KEYS_PER_SHARD, MAX_BYTES_PER_SHARD),
            running: HashMap::new(),
        };
        KeyShards {
            shards: (0..SHARD_COUNT).map(|_| Mutex::new(shard())).collect(),
            max_stored_response: limits.max_remembered as usize,
        }
    }

    pub(crate) fn shards(&self) -> &[Mutex<Shard>] {
        &self.shards
    }

    pub(crate) fn shard(&self, key: &IdempotencyKey) -> &Mutex<Shard> {
        let hash = blake3::hash(key.text().as_bytes());
        &self.shards[usize::from(hash.as_bytes()[0]) % SHARD_COUNT]
    }
}

/// A key and the data centre that handles it. The header is a UUID, or a data centre, a colon and a UUID.
struct RoutedKey {
    key: IdempotencyKey,
    data_centre: DataCentreId,
}

/// Determines the data centre of a key: the one that the header names, otherwise one of the configured ones by hash.
/// Whether data centres are available does not matter, so that a key never moves to another one.
fn route_key(gateway: &Gateway, headers: &HeaderMap) -> Result<RoutedKey, String> {
    let value = headers.get(KEY_HEADER).ok_or("this request class requires an Idempotency-Key")?;
    if headers.get_all(KEY_HEADER).iter().count() > 1 {
        return Err("more than one Idempotency-Key".to_owned());
    }
    let text = value.to_str().map_err(|_| "the Idempotency-Key is not plain text")?;
    let (named, id) = match text.split_once(':') {
        Some((data_centre, id)) => (Some(data_centre), id),
        None => (None, text),
    };
    let key = IdempotencyKey::parse(id, MAX_CLOCK_SKEW, SystemTime::now()).map_err(|error| error.to_string())?;
    let data_centre = match named {
        Some(name) if gateway.data_centres.iter().any(|known| known == name) => name.to_owned(),
        Some(name) => return Err(format!("the Idempotency-Key names no data centre of this cell: {name}")),
        None => {
            let configured = gateway.data_centres.iter().map(String::as_str);
            highest_ranked(&key.text(), configured).unwrap_or(&gateway.data_centre).to_owned()
        }
    };
    Ok(RoutedKey { key, data_centre })
}

pub(crate) async fn handle(gateway: &Arc<Gateway>, checked: CheckedRequest) -> Response<Body> {
    let RoutedKey { key, data_centre } = match route_key(gateway, &checked.parts.headers) {
        Ok(routed) => routed,
        Err(reason) => return response::rejected(StatusCode::BAD_REQUEST, &reason),
    };
    if data_centre != gateway.data_centre {
        return relay_to_data_centre(gateway, checked, &data_centre).await;
    }
    let status = gateway.ownership.lock().status(&key.text(), key.created());
    match status {
        KeyStatus::Owned => run_as_owner(gateway, checked, key).await,
        KeyStatus::OwnedBy(host) => relay_to_owner(gateway, checked, &host).await,
        KeyStatus::MayHaveRun => respond_from_store(gateway, &key),
        KeyStatus::Uncertain => {
            unknown_retry_later("the owner of the key can't currently rule out that another host has replaced it")
        }
    }
}

/// Handles a key that may have had another owner since it was created. A stored response is still valid; without one,
/// an earlier request may have run.
fn respond_from_store(gateway: &Gateway, key: &IdempotencyKey) -> Response<Body> {
    let known = gateway.keys.shard(key).lock().store.get(key);
    match known {
        Some(stored) => stored.to_response(),
        None => response::unknown(
            StatusCode::CONFLICT,
            "the owner of the key changed after the key was created: the request may have run",
            None,
        ),
    }
}

/// This request was not run, but an earlier one with the same key may have been.
fn unknown_retry_later(reason: &str) -> Response<Body> {
    response::unknown(StatusCode::SERVICE_UNAVAILABLE, reason, Some(RETRY_AFTER))
}

async fn relay_to_data_centre(
    gateway: &Arc<Gateway>,
    checked: CheckedRequest,
    data_centre: &DataCentreId,
) -> Response<Body> {
    if checked.source != Source::Caller {
        return unknown_retry_later("entry hosts disagree on the owner of the key");
    }
    let Some(host) = hosts_in(gateway, data_centre).into_iter().next() else {
        return unknown_retry_later("the data centre of the key can't be reached");
    };
    relay(gateway, checked, host.relay).await
}

async fn relay_to_owner(gateway: &Arc<Gateway>, checked: CheckedRequest, host: &str) -> Response<Body> {
    if !may_relay(checked.source) {
        return unknown_retry_later("entry hosts disagree on the owner of the key");
    }
    let relay_hosts = gateway.topology.read().relay_hosts.clone();
    let Some(owner) = relay_hosts.into_iter().find(|candidate| candidate.host == host) else {
        return unknown_retry_later("the owner of the key can't be reached");
    };
    relay(gateway, checked, owner.relay).await
}

async fn relay(gateway: &Arc<Gateway>, checked: CheckedRequest, to: std::net::SocketAddr) -> Response<Body> {
    let body = checked.body.boxed();
    match gateway.relay.send(to, &checked.parts, body, checked.source.hops(), checked.slot_request.deadline).await {
        RelayOutcome::Answered(response) => response,
        RelayOutcome::NotSent => unknown_retry_later("the owner of the key can't be reached"),
        RelayOutcome::Unknown(reason) => response::unknown(StatusCode::GATEWAY_TIMEOUT, &reason, Some(RETRY_AFTER)),
    }
}

async fn run_as_owner(gateway: &Arc<Gateway>, checked: CheckedRequest, key: IdempotencyKey) -> Response<Body> {
    let deadline = checked.slot_request.deadline;
    let (body, reservation) = match gateway.memory.read(checked.body, MAX_BODY, deadline).await {
        Ok(body) => body.into_parts(),
        Err(error) => return gateway.not_received(error),
    };
    let mut running = {
        let mut shard = gateway.keys.shard(&key).lock();
        match shard.store.begin(&key, SystemTime::now()) {
            BeginOutcome::Answered(stored) => return stored.to_response(),
            BeginOutcome::Unknown => {
                return response::unknown(StatusCode::CONFLICT, "it is no longer known whether the request ran", None);
            }
            BeginOutcome::Full => return response::not_run("the owner stores too many keys", RETRY_AFTER),
            BeginOutcome::Running => match shard.running.get(&key) {
                Some(running) => running.clone(),
                None => return unknown_retry_later("an earlier request with the same key is ending"),
            },
            BeginOutcome::First => {
                let (sender, receiver) = watch::channel(None);
                shard.running.insert(key, receiver.clone());
                drop(shard);
                let run = KeyedRun {
                    class: checked.class,
                    slot_request: checked.slot_request,
                    parts: checked.parts,
                    body,
                    key,
                    _reservation: reservation,
                };
                // Continues if the caller disconnects: the key is recorded, so its result must become known.
                tokio::spawn(run.run_and_record(gateway.clone(), sender));
                receiver
            }
        }
    };
    let finished = running.wait_for(Option::is_some);
    match tokio::time::timeout_at(tokio::time::Instant::from_std(deadline), finished).await {
        Ok(Ok(result)) => {
            result.as_ref().map_or_else(|| unknown_retry_later("the request is still running"), RunResult::to_response)
        }
        Ok(Err(_)) | Err(_) => response::unknown(
            StatusCode::GATEWAY_TIMEOUT,
            "no response before the deadline; retry with the same key",
            Some(RETRY_AFTER),
        ),
    }
}

/// The one run of a key.
struct KeyedRun {
    class: ClassIndex,
    slot_request: SlotRequest,
    parts: Parts,
    body: Bytes,
    key: IdempotencyKey,
    /// Memory of the body, until the run ends.
    _reservation: Option<Reservation>,
}

impl KeyedRun {
    async fn run_and_record(self, gateway: Arc<Gateway>, sender: watch::Sender<Option<RunResult>>) {
        let result = self.run(&gateway).await;
        let mut shard = gateway.keys.shard(&self.key).lock();
        match &result {
            RunResult::Answered(stored) => shard.store.record_answer(&self.key, stored.clone(), stored.size()),
            RunResult::NotRun(..) => shard.store.record_not_run(&self.key),
            RunResult::Unknown(_) => shard.store.record_unknown(&self.key),
        }
        shard.running.remove(&self.key);
        drop(shard);
        sender.send_replace(Some(result));
    }

    async fn run(&self, gateway: &Arc<Gateway>) -> RunResult {
        let service = &gateway.services[&gateway.classes[self.class].service];
        match dispatch(service, &self.slot_request, &self.parts, body::whole(self.body.clone())).await {
            DispatchOutcome::Refused(refusal) => {
                RunResult::NotRun(refusal.reason.message().to_owned(), refusal.retry_after)
            }
            DispatchOutcome::NotRun => {
                RunResult::NotRun("no instance of the service accepted the request".to_owned(), service.retry_after())
            }
            DispatchOutcome::Unknown(reason) => RunResult::Unknown(reason),
            DispatchOutcome::Answered(response, pending) => {
                let (mut parts, body) = response.into_parts();
                strip_headers(&mut parts.headers);
                match read_whole(body, pending, self.slot_request.deadline, gateway.keys.max_stored_response).await {
                    Ok(body) => RunResult::Answered(Arc::new(StoredResponse {
                        status: parts.status,
                        headers: parts.headers,
                        body,
                    })),
                    Err(ReadError::Incomplete) => {
                        RunResult::Unknown("the response of the backend server is incomplete".to_owned())
                    }
                    Err(ReadError::TooLong) => {
                        RunResult::Unknown("the request ran, but its response is too large to be stored".to_owned())
                    }
                }
            }
        }
    }
}
