//! Passes requests on to other entry hosts: to the home of an unrepeatable key, or to another data centre when
//! this one has no instance.

use std::net::SocketAddr;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;
use web::Body;

use crate::dispatch::clean;

/// Proves that a request comes from a host of the cell.
const TOKEN: HeaderName = HeaderName::from_static("x-walkhook-token");
/// How often the request was relayed already.
const HOPS: HeaderName = HeaderName::from_static("x-walkhook-hops");
/// What is left of the deadline, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("walkhook-deadline-ms");
/// A request is relayed to its data centre and there to its home, not further.
pub(crate) const MOST_HOPS: u8 = 2;
const CONNECT: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(30);
const CONTEXT: &str = "walkhook 2026 requests between entry hosts";

/// How a relay ended.
pub(crate) enum Relayed {
    /// The other host answered.
    Answered(Response<Body>),
    /// The other host surely got nothing.
    NotSent,
    /// It may have got the request.
    Unknown(String),
}

/// The way to other entry hosts.
pub(crate) struct Relay {
    client: Client<HttpConnector, Body>,
    token: String,
}

impl Relay {
    pub(crate) fn new(shared_key: &str) -> Relay {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        let token = blake3::Hash::from_bytes(blake3::derive_key(CONTEXT, shared_key.as_bytes())).to_string();
        Relay { client, token }
    }

    /// How often a request was relayed; `None` when it does not come from a host of the cell. The token is
    /// compared in constant time.
    pub(crate) fn hops(&self, request: &Request<Incoming>) -> Option<u8> {
        let shown = request.headers().get(TOKEN)?.to_str().ok()?;
        let (shown, own) = (blake3::Hash::from_hex(shown).ok()?, blake3::Hash::from_hex(&self.token).ok()?);
        if shown != own {
            return None;
        }
        request.headers().get(HOPS)?.to_str().ok()?.parse().ok()
    }

    /// Passes a request on.
    pub(crate) async fn pass(
        &self,
        to: SocketAddr,
        parts: &Parts,
        body: Body,
        hops: u8,
        deadline: std::time::Instant,
    ) -> Relayed {
        let deadline = Instant::from_std(deadline);
        let left = deadline.saturating_duration_since(Instant::now());
        let Some(request) = self.request(to, parts, body, hops, left) else { return Relayed::NotSent };
        match tokio::time::timeout_at(deadline, self.client.request(request)).await {
            Ok(Ok(answer)) => {
                let (mut parts, body) = answer.into_parts();
                clean(&mut parts.headers);
                Relayed::Answered(Response::from_parts(parts, body.boxed()))
            }
            Ok(Err(fault)) if fault.is_connect() => Relayed::NotSent,
            Ok(Err(fault)) => Relayed::Unknown(fault.to_string()),
            Err(_) => Relayed::Unknown("no answer before the deadline".to_owned()),
        }
    }

    fn request(&self, to: SocketAddr, parts: &Parts, body: Body, hops: u8, left: Duration) -> Option<Request<Body>> {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri: Uri = format!("http://{to}{path}").parse().ok()?;
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = parts.headers.clone();
        clean(request.headers_mut());
        let headers = request.headers_mut();
        headers.insert(TOKEN, HeaderValue::from_str(&self.token).ok()?);
        headers.insert(HOPS, HeaderValue::from(u16::from(hops) + 1));
        headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
        Some(request)
    }
}
