//! The beginning of a request's path: health, class, deadline, team, size; then by kind of class.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use model::DataCentreId;
use request::{ClassIndex, SlotRequest};
use settings::Class;
use web::Body;

use crate::dispatch::{Dispatched, dispatch, pass_on};
use crate::relay::{DEADLINE, MOST_HOPS, Relayed};
use crate::state::{Gateway, Neighbour};
use crate::{answer, body, keyed};

/// Where the balancer asks whether to send requests here.
const HEALTH: &str = "/-/health";
const TEAM: &str = "x-team";
const NO_TEAM: &str = "none";

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A caller.
    Caller,
    /// Another entry host, after so many hops.
    Host(u8),
}

impl Source {
    pub(crate) fn hops(self) -> u8 {
        match self {
            Source::Caller => 0,
            Source::Host(hops) => hops,
        }
    }
}

/// A request that passed the checks.
pub(crate) struct Checked {
    pub(crate) class: ClassIndex,
    pub(crate) ask: SlotRequest,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) source: Source,
}

pub(crate) async fn answer(gateway: &Arc<Gateway>, request: Request<Incoming>, source: Source) -> Response<Body> {
    let received = Instant::now();
    if request.uri().path() == HEALTH {
        return health(gateway);
    }
    let checked = match check(gateway, request, source, received) {
        Ok(checked) => checked,
        Err(refusal) => return *refusal,
    };
    let (class, team) = (checked.class, checked.ask.team.clone());
    let answered = if gateway.classes[class].repeatable {
        repeatable(gateway, checked).await
    } else {
        keyed::answer(gateway, checked).await
    };
    if source == Source::Caller {
        count(gateway, class, &team, &answered, received);
    }
    answered
}

fn health(gateway: &Gateway) -> Response<Body> {
    if gateway.is_leaving() {
        return web::json(StatusCode::SERVICE_UNAVAILABLE, &"leaving");
    }
    if !gateway.is_ready() {
        return web::json(StatusCode::SERVICE_UNAVAILABLE, &"starting");
    }
    web::json(StatusCode::OK, &"serving")
}

fn count(gateway: &Gateway, class: ClassIndex, team: &str, answered: &Response<Body>, received: Instant) {
    let outcome = answer::outcome(answered);
    let counts = &gateway.counts[class];
    let counter = match outcome {
        "not_run" => &counts.not_run,
        "unknown" => &counts.unknown,
        _ => &counts.answered,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    gateway.metrics.record_request(&gateway.classes[class].name, team, outcome, received.elapsed());
}

type Refused = Box<Response<Body>>;

fn check(gateway: &Gateway, request: Request<Incoming>, source: Source, received: Instant) -> Result<Checked, Refused> {
    let (parts, body) = request.into_parts();
    let bad = |status, why: &str| Err(Box::new(answer::bad(status, why)));
    let Some(class) = gateway.paths.find(parts.uri.path()) else {
        return bad(StatusCode::NOT_FOUND, "no class of requests has this path");
    };
    let headers = &parts.headers;
    if headers.contains_key(header::UPGRADE) {
        return bad(StatusCode::NOT_IMPLEMENTED, "connections can't be upgraded");
    }
    if body.size_hint().lower() > gateway.limits.max_body {
        return bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than the limit");
    }
    let settings = &gateway.classes[class];
    let deadline = deadline(headers, settings, received)?;
    let team = team(gateway, headers)?;
    let ask = SlotRequest { team, priority: settings.priority, deadline };
    Ok(Checked { class, ask, parts, body, source })
}

/// The class's deadline, or the caller's when that is sooner.
fn deadline(headers: &HeaderMap, class: &Class, received: Instant) -> Result<Instant, Refused> {
    let Some(value) = headers.get(DEADLINE) else { return Ok(received + class.deadline) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(millis) = millis else {
        let why = "walkhook-deadline-ms must be a whole number of milliseconds";
        return Err(Box::new(answer::bad(StatusCode::BAD_REQUEST, why)));
    };
    Ok(received + Duration::from_millis(millis).min(class.deadline))
}

fn team(gateway: &Gateway, headers: &HeaderMap) -> Result<String, Refused> {
    let Some(value) = headers.get(TEAM) else { return Ok(NO_TEAM.to_owned()) };
    match value.to_str() {
        Ok(name) if model::plan::is_valid_name(name) => Ok(gateway.team(name)),
        _ => Err(Box::new(answer::bad(StatusCode::BAD_REQUEST, "x-team must be the name of a team"))),
    }
}

/// A request that may run more than once: here, or in another data centre when there is no instance here.
async fn repeatable(gateway: &Arc<Gateway>, checked: Checked) -> Response<Body> {
    let class = &gateway.classes[checked.class];
    let service = &gateway.services[&class.service];
    if !service.has_instances() && checked.source == Source::Caller {
        return elsewhere(gateway, checked).await;
    }
    let deadline = checked.ask.deadline;
    let body = match body::read_first(checked.body, gateway.limits.max_body, deadline).await {
        Ok(body) => body,
        Err(refusal) => return *refusal,
    };
    match dispatch(service, &checked.ask, &checked.parts, body).await {
        Dispatched::Answered(answer, held) => pass_on(answer, held, deadline).await,
        Dispatched::Refused(refusal) => answer::refused(&refusal),
        Dispatched::NotRun => answer::not_run("no instance of the service took it", service.retry_after()),
        Dispatched::Unknown(why) => answer::unknown(StatusCode::GATEWAY_TIMEOUT, &why, Some(service.retry_after())),
    }
}

/// Hosts of other data centres that take requests, the own one left out.
fn hosts_elsewhere(gateway: &Gateway) -> Vec<Neighbour> {
    let topology = gateway.topology.read();
    let mut hosts: Vec<Neighbour> = topology
        .neighbours
        .iter()
        .filter(|neighbour| neighbour.live && neighbour.data_centre != gateway.data_centre)
        .cloned()
        .collect();
    drop(topology);
    rand::seq::SliceRandom::shuffle(hosts.as_mut_slice(), &mut rand::rng());
    hosts
}

/// The first host of another data centre that can be connected to.
async fn elsewhere(gateway: &Arc<Gateway>, checked: Checked) -> Response<Body> {
    let refusal = || answer::not_run("no instance of the service is live", Duration::from_secs(1));
    let Some(host) = hosts_elsewhere(gateway).into_iter().next() else { return refusal() };
    let body = checked.body.boxed();
    match gateway.relay.pass(host.relay, &checked.parts, body, checked.source.hops(), checked.ask.deadline).await {
        Relayed::Answered(answer) => answer,
        Relayed::NotSent => refusal(),
        Relayed::Unknown(why) => answer::unknown(StatusCode::GATEWAY_TIMEOUT, &why, None),
    }
}

/// Hosts of a data centre that take requests.
pub(crate) fn hosts_in(gateway: &Gateway, data_centre: &DataCentreId) -> Vec<Neighbour> {
    let mut hosts = hosts_elsewhere(gateway);
    hosts.retain(|neighbour| neighbour.data_centre == *data_centre);
    hosts
}

/// Whether a request may be relayed once more.
pub(crate) fn may_relay(source: Source) -> bool {
    source.hops() < MOST_HOPS
}
