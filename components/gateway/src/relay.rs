//! Relays requests to other entry hosts: to the owner of an idempotency key, or to another data centre if this one has
//! no instance of the service.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Response, Uri};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;
use web::{Body, Incoming};

use crate::dispatch::strip_headers;

/// Authenticates a request as sent by a host of the cell.
const TOKEN_HEADER: HeaderName = HeaderName::from_static("x-walkhook-token");
/// How often the request has been relayed.
const HOPS_HEADER: HeaderName = HeaderName::from_static("x-walkhook-hops");
/// Time until the deadline, in milliseconds.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("walkhook-deadline-ms");
/// A request is relayed at most to the data centre of its key, and there to the owner of the key.
pub(crate) const MAX_HOPS: u8 = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const KEY_CONTEXT: &str = "walkhook 2026 requests between entry hosts";

pub(crate) enum RelayOutcome {
    /// The other host responded.
    Answered(Response<Body>),
    /// The other host can't have received the request.
    NotSent,
    /// The other host may have received the request.
    Unknown(String),
}

/// HTTP client for other entry hosts.
pub(crate) struct Relay {
    client: Client<HttpConnector, Body>,
    token: String,
}

impl Relay {
    pub(crate) fn new(shared_key: &str) -> Relay {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        let token = blake3::Hash::from_bytes(blake3::derive_key(KEY_CONTEXT, shared_key.as_bytes())).to_string();
        Relay { client, token }
    }

    /// How often a request has been relayed; `None` unless it was sent by a host of the cell. The token is compared in
    /// constant time.
    pub(crate) fn hops(&self, request: &Request<Incoming>) -> Option<u8> {
        let token = request.headers().get(TOKEN_HEADER)?.to_str().ok()?;
        let (token, expected) = (blake3::Hash::from_hex(token).ok()?, blake3::Hash::from_hex(&self.token).ok()?);
        if token != expected {
            return None;
        }
        request.headers().get(HOPS_HEADER)?.to_str().ok()?.parse().ok()
    }

    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        parts: &Parts,
        body: Body,
        hops: u8,
        deadline: std::time::Instant,
    ) -> RelayOutcome {
        let deadline = Instant::from_std(deadline);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Some(request) = self.request(to, parts, body, hops, remaining) else { return RelayOutcome::NotSent };
        match tokio::time::timeout_at(deadline, self.client.request(request)).await {
            Ok(Ok(response)) => {
                let (mut parts, body) = response.into_parts();
                strip_headers(&mut parts.headers);
                RelayOutcome::Answered(Response::from_parts(parts, body.boxed()))
            }
            Ok(Err(error)) if error.is_connect() => RelayOutcome::NotSent,
            Ok(Err(error)) => RelayOutcome::Unknown(error.to_string()),
            Err(_) => RelayOutcome::Unknown("no response before the deadline".to_owned()),
        }
    }

    fn request(
        &self,
        to: SocketAddr,
        parts: &Parts,
        body: Body,
        hops: u8,
        remaining: Duration,
    ) -> Option<Request<Body>> {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri: Uri = format!("http://{to}{path}").parse().ok()?;
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = parts.headers.clone();
        strip_headers(request.headers_mut());
        let headers = request.headers_mut();
        headers.insert(TOKEN_HEADER, HeaderValue::from_str(&self.token).ok()?);
        headers.insert(HOPS_HEADER, HeaderValue::from(u16::from(hops) + 1));
        headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining.as_millis() as u64));
        Some(request)
    }
}
