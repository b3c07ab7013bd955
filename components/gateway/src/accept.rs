//! Entry point of a request: health check, validation (class, deadline, team, size), then the path for its kind of
//! class.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use model::DataCentreId;
use request::{ClassIndex, SlotRequest};
use settings::Class;
use web::{Body, Incoming};

use crate::dispatch::{DispatchOutcome, dispatch, forward_response};
use crate::relay::{DEADLINE_HEADER, MAX_HOPS, RelayOutcome};
use crate::state::{Gateway, RelayHost};
use crate::{body, keyed, response};

/// Path of the health check of the load balancer.
const HEALTH_PATH: &str = "/-/health";
const TEAM_HEADER: &str = "x-team";
const DEFAULT_TEAM: &str = "none";

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Caller,
    /// Another entry host, with the number of times that the request has been relayed.
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

/// A request that passed validation.
pub(crate) struct CheckedRequest {
    pub(crate) class: ClassIndex,
    pub(crate) slot_request: SlotRequest,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) source: Source,
}

pub(crate) async fn handle(gateway: &Arc<Gateway>, request: Request<Incoming>, source: Source) -> Response<Body> {
    let received = Instant::now();
    if request.uri().path() == HEALTH_PATH {
        return health(gateway);
    }
    let checked = match check(gateway, request, source, received) {
        Ok(checked) => checked,
        Err(rejection) => return *rejection,
    };
    let (class, team) = (checked.class, checked.slot_request.team.clone());
    let response = if gateway.classes[class].repeatable {
        repeatable(gateway, checked).await
    } else {
        keyed::handle(gateway, checked).await
    };
    if source == Source::Caller {
        count(gateway, class, &team, &response, received);
    }
    response
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

fn count(gateway: &Gateway, class: ClassIndex, team: &str, response: &Response<Body>, received: Instant) {
    let outcome = response::outcome(response);
    let counts = &gateway.counts[class];
    let counter = match outcome {
        "not_run" => &counts.not_run,
        "unknown" => &counts.unknown,
        _ => &counts.answered,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    gateway.metrics.record_request(&gateway.classes[class].name, team, outcome, received.elapsed());
}

type Rejection = Box<Response<Body>>;

fn check(
    gateway: &Gateway,
    request: Request<Incoming>,
    source: Source,
    received: Instant,
) -> Result<CheckedRequest, Rejection> {
    let (parts, body) = request.into_parts();
    let reject = |status, reason: &str| Err(Box::new(response::rejected(status, reason)));
    let Some(class) = gateway.class_paths.find(parts.uri.path()) else {
        return reject(StatusCode::NOT_FOUND, "no request class matches this path");
    };
    let headers = &parts.headers;
    if headers.contains_key(header::UPGRADE) {
        return reject(StatusCode::NOT_IMPLEMENTED, "connections can't be upgraded");
    }
    if body.size_hint().lower() > gateway.limits.max_body {
        return reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than the limit");
    }
    let class_settings = &gateway.classes[class];
    let deadline = deadline(headers, class_settings, received)?;
    let team = team(gateway, headers)?;
    let slot_request = SlotRequest { team, priority: class_settings.priority, deadline };
    Ok(CheckedRequest { class, slot_request, parts, body, source })
}

/// The deadline of the class, or that of the caller if it is earlier.
fn deadline(headers: &HeaderMap, class: &Class, received: Instant) -> Result<Instant, Rejection> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(received + class.deadline) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let Some(millis) = millis else {
        let reason = "walkhook-deadline-ms must be a whole number of milliseconds";
        return Err(Box::new(response::rejected(StatusCode::BAD_REQUEST, reason)));
    };
    Ok(received + Duration::from_millis(millis).min(class.deadline))
}

fn team(gateway: &Gateway, headers: &HeaderMap) -> Result<String, Rejection> {
    let Some(value) = headers.get(TEAM_HEADER) else { return Ok(DEFAULT_TEAM.to_owned()) };
    match value.to_str() {
        Ok(name) if model::plan::is_valid_name(name) => Ok(gateway.tracked_team(name)),
        _ => Err(Box::new(response::rejected(StatusCode::BAD_REQUEST, "x-team must be the name of a team"))),
    }
}

/// Handles a request that may run more than once. It is relayed to another data centre if there is no instance in this
/// one.
async fn repeatable(gateway: &Arc<Gateway>, checked: CheckedRequest) -> Response<Body> {
    let class = &gateway.classes[checked.class];
    let service = &gateway.services[&class.service];
    if !service.has_instances() && checked.source == Source::Caller {
        return relay_to_other_data_centre(gateway, checked).await;
    }
    let deadline = checked.slot_request.deadline;
    let body = match body::read_first(gateway, checked.body, deadline).await {
        Ok(body) => body,
        Err(error) => return gateway.not_received(error),
    };
    match dispatch(service, &checked.slot_request, &checked.parts, body).await {
        DispatchOutcome::Answered(response, pending) => forward_response(response, pending, deadline).await,
        DispatchOutcome::Refused(refusal) => response::refused(&refusal),
        DispatchOutcome::NotRun => {
            response::not_run("no instance of the service accepted the request", service.retry_after())
        }
        DispatchOutcome::Unknown(reason) => {
            response::unknown(StatusCode::GATEWAY_TIMEOUT, &reason, Some(service.retry_after()))
        }
    }
}

/// Hosts of other data centres that accept requests, in random order.
fn hosts_in_other_data_centres(gateway: &Gateway) -> Vec<RelayHost> {
    let topology = gateway.topology.read();
    let mut hosts: Vec<RelayHost> = topology
        .relay_hosts
        .iter()
        .filter(|host| host.serving && host.data_centre != gateway.data_centre)
        .cloned()
        .collect();
    drop(topology);
    rand::seq::SliceRandom::shuffle(hosts.as_mut_slice(), &mut rand::rng());
    hosts
}

/// Relays a request to a random host of another data centre.
async fn relay_to_other_data_centre(gateway: &Arc<Gateway>, checked: CheckedRequest) -> Response<Body> {
    let no_instance = || response::not_run("the service has no live instance", Duration::from_secs(1));
    let Some(host) = hosts_in_other_data_centres(gateway).into_iter().next() else { return no_instance() };
    let body = checked.body.boxed();
    match gateway
        .relay
        .send(host.relay, &checked.parts, body, checked.source.hops(), checked.slot_request.deadline)
        .await
    {
        RelayOutcome::Answered(response) => response,
        RelayOutcome::NotSent => no_instance(),
        RelayOutcome::Unknown(reason) => response::unknown(StatusCode::GATEWAY_TIMEOUT, &reason, None),
    }
}

/// Hosts of another data centre that accept requests, in random order.
pub(crate) fn hosts_in(gateway: &Gateway, data_centre: &DataCentreId) -> Vec<RelayHost> {
    let mut hosts = hosts_in_other_data_centres(gateway);
    hosts.retain(|host| host.data_centre == *data_centre);
    hosts
}

/// Whether a request may be relayed once more.
pub(crate) fn may_relay(source: Source) -> bool {
    source.hops() < MAX_HOPS
}
