//! Unrepeatable requests. The key leads to one home host, which records it before dispatch, sends it to one
//! instance once, and remembers the answer for duplicates.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use member::highest_ranked;
use model::DataCentreId;
use parking_lot::Mutex;
use request::{BeginOutcome, ClassIndex, IdempotencyKey, IdempotencyStore, KeyStatus, SlotRequest};
use tokio::sync::watch;
use web::Body;

use crate::accept::{Checked, Source, hosts_in, may_relay};
use crate::dispatch::{Dispatched, Unread, clean, dispatch, read_whole};
use crate::relay::Relayed;
use crate::state::{Gateway, SKEW};
use crate::{answer, body};

const HEADER: &str = "idempotency-key";
/// Largest body of an unrepeatable request: it is held until it has been sent.
const MAX_BODY: usize = 1024 * 1024;
/// Shards of the memory, each under its own lock.
const SHARDS: usize = 16;
/// Keys that one shard remembers, and bytes of their answers: 32,768 keys and 4 MiB in all. Beyond them no new key
/// is taken.
const MOST_KEYS: usize = 2048;
const MOST_BYTES: usize = 256 * 1024;
/// When to ask again after an answer could not be found out.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// An answer that is remembered.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Stored {
    /// Bytes that it takes, about.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.body.len() + headers.sum::<usize>()
    }

    fn answer(&self) -> Response<Body> {
        let mut answer = Response::new(web::full(self.body.clone()));
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.headers.clone();
        answer
    }
}

/// How the first request of a key ended.
#[derive(Clone, Debug)]
enum End {
    Answered(Arc<Stored>),
    NotRun(String, Duration),
    Unknown(String),
}

impl End {
    fn answer(&self) -> Response<Body> {
        match self {
            End::Answered(stored) => stored.answer(),
            End::NotRun(why, retry_after) => answer::not_run(why, *retry_after),
            End::Unknown(why) => answer::unknown(StatusCode::GATEWAY_TIMEOUT, why, None),
        }
    }
}

pub(crate) struct Shard {
    pub(crate) memory: IdempotencyStore<Arc<Stored>>,
    running: HashMap<IdempotencyKey, watch::Receiver<Option<End>>>,
}

/// The keys that this host is home of.
pub(crate) struct Keys {
    shards: Vec<Mutex<Shard>>,
    max_remembered: usize,
}

impl Keys {
    pub(crate) fn new(limits: &settings::Requests) -> Keys {
        let shard = || Shard {
            memory: IdempotencyStore::new(limits.key_window, MOST_KEYS, MOST_BYTES),
            running: HashMap::new(),
        };
        Keys {
            shards: (0..SHARDS).map(|_| Mutex::new(shard())).collect(),
            max_remembered: limits.max_remembered as usize,
        }
    }

    pub(crate) fn shards(&self) -> &[Mutex<Shard>] {
        &self.shards
    }

    pub(crate) fn shard(&self, key: &IdempotencyKey) -> &Mutex<Shard> {
        let hash = blake3::hash(key.text().as_bytes());
        &self.shards[usize::from(hash.as_bytes()[0]) % SHARDS]
    }
}

/// A key as the caller wrote it: a UUID, or a data centre, a colon and a UUID.
struct Addressed {
    key: IdempotencyKey,
    data_centre: DataCentreId,
}

/// The home data centre is the one that the key names, else one of those configured, by the key: not of those
/// that live, so that it never moves.
fn address(gateway: &Gateway, headers: &HeaderMap) -> Result<Addressed, String> {
    let value = headers.get(HEADER).ok_or("this class of requests needs an Idempotency-Key")?;
    if headers.get_all(HEADER).iter().count() > 1 {
        return Err("more than one Idempotency-Key".to_owned());
    }
    let text = value.to_str().map_err(|_| "the Idempotency-Key is not plain text")?;
    let (named, id) = match text.split_once(':') {
        Some((data_centre, id)) => (Some(data_centre), id),
        None => (None, text),
    };
    let key = IdempotencyKey::parse(id, SKEW, SystemTime::now()).map_err(|fault| fault.to_string())?;
    let data_centre = match named {
        Some(name) if gateway.data_centres.iter().any(|known| known == name) => name.to_owned(),
        Some(name) => return Err(format!("the Idempotency-Key names no data centre of this cell: {name}")),
        None => {
            let configured = gateway.data_centres.iter().map(String::as_str);
            highest_ranked(&key.text(), configured).unwrap_or(&gateway.data_centre).to_owned()
        }
    };
    Ok(Addressed { key, data_centre })
}

pub(crate) async fn answer(gateway: &Arc<Gateway>, checked: Checked) -> Response<Body> {
    let Addressed { key, data_centre } = match address(gateway, &checked.parts.headers) {
        Ok(addressed) => addressed,
        Err(why) => return answer::bad(StatusCode::BAD_REQUEST, &why),
    };
    if data_centre != gateway.data_centre {
        return to_data_centre(gateway, checked, &data_centre).await;
    }
    let standing = gateway.home.lock().status(&key.text(), key.created());
    match standing {
        KeyStatus::Owned => at_home(gateway, checked, key).await,
        KeyStatus::OwnedBy(host) => to_host(gateway, checked, &host).await,
        KeyStatus::MayHaveRun => not_remembered(gateway, &key),
        KeyStatus::Uncertain => asked_again("its home can't be sure now that no other host has taken its place"),
    }
}

/// The key's home may have moved here after the key was made. What is in the memory is certain all the same.
fn not_remembered(gateway: &Gateway, key: &IdempotencyKey) -> Response<Body> {
    let known = gateway.keys.shard(key).lock().memory.get(key);
    match known {
        Some(stored) => stored.answer(),
        None => answer::unknown(StatusCode::CONFLICT, "its home changed after the key was made: it may have run", None),
    }
}

/// Nothing was run now, but an earlier request with the key may have been.
fn asked_again(why: &str) -> Response<Body> {
    answer::unknown(StatusCode::SERVICE_UNAVAILABLE, why, Some(ASK_AGAIN))
}

async fn to_data_centre(gateway: &Arc<Gateway>, checked: Checked, data_centre: &DataCentreId) -> Response<Body> {
    if checked.source != Source::Caller {
        return asked_again("entry hosts disagree on the home of the key");
    }
    let Some(host) = hosts_in(gateway, data_centre).into_iter().next() else {
        return asked_again("the key's home data centre can't be reached");
    };
    pass(gateway, checked, host.relay).await
}

async fn to_host(gateway: &Arc<Gateway>, checked: Checked, host: &str) -> Response<Body> {
    if !may_relay(checked.source) {
        return asked_again("entry hosts disagree on the home of the key");
    }
    let relay_hosts = gateway.topology.read().relay_hosts.clone();
    let Some(home) = relay_hosts.into_iter().find(|neighbour| neighbour.host == host) else {
        return asked_again("the key's home host can't be reached");
    };
    pass(gateway, checked, home.relay).await
}

async fn pass(gateway: &Arc<Gateway>, checked: Checked, to: std::net::SocketAddr) -> Response<Body> {
    let body = checked.body.boxed();
    match gateway.relay.pass(to, &checked.parts, body, checked.source.hops(), checked.ask.deadline).await {
        Relayed::Answered(answer) => answer,
        Relayed::NotSent => asked_again("the key's home host can't be reached"),
        Relayed::Unknown(why) => answer::unknown(StatusCode::GATEWAY_TIMEOUT, &why, Some(ASK_AGAIN)),
    }
}

async fn at_home(gateway: &Arc<Gateway>, checked: Checked, key: IdempotencyKey) -> Response<Body> {
    let deadline = checked.ask.deadline;
    let bytes = match read_body(checked.body, deadline).await {
        Ok(bytes) => bytes,
        Err(refusal) => return refusal,
    };
    let mut running = {
        let mut shard = gateway.keys.shard(&key).lock();
        match shard.memory.begin(&key, SystemTime::now()) {
            BeginOutcome::Answered(stored) => return stored.answer(),
            BeginOutcome::Unknown => {
                return answer::unknown(StatusCode::CONFLICT, "whether it ran can't be said any more", None);
            }
            BeginOutcome::Full => return answer::not_run("the home remembers too many keys already", ASK_AGAIN),
            BeginOutcome::Running => match shard.running.get(&key) {
                Some(running) => running.clone(),
                None => return asked_again("an earlier request with the key is ending"),
            },
            BeginOutcome::First => {
                let (sender, receiver) = watch::channel(None);
                shard.running.insert(key, receiver.clone());
                drop(shard);
                let run = Run { class: checked.class, ask: checked.ask, parts: checked.parts, bytes, key };
                // Goes on when the caller hangs up: it was recorded, so its end must be known.
                tokio::spawn(run.finish(gateway.clone(), sender));
                receiver
            }
        }
    };
    let ended = running.wait_for(Option::is_some);
    match tokio::time::timeout_at(tokio::time::Instant::from_std(deadline), ended).await {
        Ok(Ok(end)) => end.as_ref().map_or_else(|| asked_again("it is still running"), End::answer),
        Ok(Err(_)) | Err(_) => {
            answer::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer before the deadline; ask again", Some(ASK_AGAIN))
        }
    }
}

async fn read_body(body: Incoming, deadline: Instant) -> Result<Bytes, Response<Body>> {
    let reading = Limited::new(body, MAX_BODY).collect();
    match tokio::time::timeout_at(tokio::time::Instant::from_std(deadline), reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(fault)) if fault.is::<http_body_util::LengthLimitError>() => {
            Err(answer::bad(StatusCode::PAYLOAD_TOO_LARGE, "the body of an unrepeatable request is limited to 1 MiB"))
        }
        Ok(Err(_)) => Err(answer::bad(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => Err(answer::bad(StatusCode::REQUEST_TIMEOUT, "the body did not come before the deadline")),
    }
}

/// The one run of a key.
struct Run {
    class: ClassIndex,
    ask: SlotRequest,
    parts: Parts,
    bytes: Bytes,
    key: IdempotencyKey,
}

impl Run {
    async fn finish(self, gateway: Arc<Gateway>, sender: watch::Sender<Option<End>>) {
        let end = self.run(&gateway).await;
        let mut shard = gateway.keys.shard(&self.key).lock();
        match &end {
            End::Answered(stored) => shard.memory.record_answer(&self.key, stored.clone(), stored.size()),
            End::NotRun(..) => shard.memory.record_not_run(&self.key),
            End::Unknown(_) => shard.memory.record_unknown(&self.key),
        }
        shard.running.remove(&self.key);
        drop(shard);
        sender.send_replace(Some(end));
    }

    async fn run(&self, gateway: &Arc<Gateway>) -> End {
        let service = &gateway.services[&gateway.classes[self.class].service];
        match dispatch(service, &self.ask, &self.parts, body::whole(self.bytes.clone())).await {
            Dispatched::Refused(refusal) => End::NotRun(refusal.reason.message().to_owned(), refusal.retry_after),
            Dispatched::NotRun => End::NotRun("no instance of the service took it".to_owned(), service.retry_after()),
            Dispatched::Unknown(why) => End::Unknown(why),
            Dispatched::Answered(answer, held) => {
                let (mut parts, body) = answer.into_parts();
                clean(&mut parts.headers);
                match read_whole(body, held, self.ask.deadline, gateway.keys.max_remembered).await {
                    Ok(body) => End::Answered(Arc::new(Stored { status: parts.status, headers: parts.headers, body })),
                    Err(Unread::Broken) => End::Unknown("the backend server's answer broke off".to_owned()),
                    Err(Unread::Long) => {
                        End::Unknown("it ran, but its answer is longer than can be remembered".to_owned())
                    }
                }
            }
        }
    }
}
