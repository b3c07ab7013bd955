//! Sends an admitted request to an instance and forwards its response. A request is only retried if it can't have run,
//! and a truncated response is never forwarded as a complete one.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use request::{Refusal, SlotRequest};
use web::Body;

use crate::body::RequestBody;
use crate::connections::{Connection, SendOutcome};
use crate::response;
use crate::service::{Service, Slot};

/// Responses up to this size are read completely before they are forwarded, so that a slow caller does not occupy the
/// slot.
const MAX_BUFFERED_RESPONSE: u64 = 64 * 1024;
const MAX_RETRIES: u32 = 3;

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];
/// Prefix of headers that only walkhook may set.
const INTERNAL_PREFIX: &str = "x-walkhook-";

pub(crate) enum DispatchOutcome {
    /// The head of a response was received; its body follows.
    Answered(Response<Incoming>, Box<PendingResponse>),
    /// Refused before anything was sent.
    Refused(Refusal),
    /// No instance can have received the request.
    NotRun,
    /// The request may have run.
    Unknown(String),
}

/// The slot and connection of a response whose body has not been read completely.
pub(crate) struct PendingResponse {
    slot: Slot,
    connection: Connection,
}

impl PendingResponse {
    /// Releases the slot and keeps the connection, after the response has been read completely.
    fn finish(self) {
        self.slot.service().connections.keep(self.slot.taken.address, self.connection);
        self.slot.release_answered();
    }
}

/// Removes headers that must not be forwarded: hop-by-hop headers and those that only walkhook may set.
pub(crate) fn strip_headers(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let internal_headers: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(INTERNAL_PREFIX)).cloned().collect();
    for name in HOP_BY_HOP.iter().chain(&connection_headers).chain(&internal_headers) {
        headers.remove(name);
    }
}

/// Sends a request to an instance of the service and waits for the head of its response.
pub(crate) async fn dispatch(
    service: &Arc<Service>,
    slot_request: &SlotRequest,
    parts: &Parts,
    body: RequestBody,
) -> DispatchOutcome {
    let mut slot = match service.acquire_slot(slot_request).await {
        Ok(slot) => slot,
        Err(refusal) => return DispatchOutcome::Refused(refusal),
    };
    let mut request = outgoing_request(parts, body, &slot);
    for _ in 0..=MAX_RETRIES {
        let sending = service.connections.send(slot.taken.address, request);
        let deadline = tokio::time::Instant::from_std(slot_request.deadline);
        let sent = match tokio::time::timeout_at(deadline, sending).await {
            Ok(sent) => sent,
            Err(_) => {
                slot.release_later();
                return DispatchOutcome::Unknown("no response before the deadline".to_owned());
            }
        };
        match sent {
            SendOutcome::Answered(response, connection) => {
                return DispatchOutcome::Answered(response, Box::new(PendingResponse { slot, connection }));
            }
            SendOutcome::Unknown(reason) => return DispatchOutcome::Unknown(reason),
            SendOutcome::NotSent(returned) => request = *returned,
        }
        let failed = slot.taken.name.clone();
        drop(slot);
        if Instant::now() >= slot_request.deadline {
            return DispatchOutcome::NotRun;
        }
        match service.acquire_retry_slot(&failed) {
            Some(retry_slot) => slot = retry_slot,
            None => return DispatchOutcome::NotRun,
        }
    }
    DispatchOutcome::NotRun
}

/// Creates the request that is sent to the instance of the slot.
fn outgoing_request(parts: &Parts, body: RequestBody, slot: &Slot) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    // Backend servers expect a URI with only path and query, also if the caller sent an absolute one.
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = parts.headers.clone();
    strip_headers(request.headers_mut());
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = slot.taken.address.to_string().parse()
    {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

/// Creates the response for the caller: small bodies are buffered, others are streamed.
pub(crate) async fn forward_response(
    response: Response<Incoming>,
    pending: Box<PendingResponse>,
    deadline: Instant,
) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    strip_headers(&mut parts.headers);
    let buffered = body.size_hint().upper().is_some_and(|upper| upper <= MAX_BUFFERED_RESPONSE);
    if !buffered {
        return Response::from_parts(parts, StreamedBody { body, pending: Some(pending) }.boxed());
    }
    match read_whole(body, pending, deadline, MAX_BUFFERED_RESPONSE as usize).await {
        Ok(bytes) => Response::from_parts(parts, web::full(bytes)),
        Err(_) => incomplete_response(),
    }
}

/// Why a body could not be read completely.
pub(crate) enum ReadError {
    /// The connection failed, or the deadline passed.
    Incomplete,
    /// The body exceeds the limit.
    TooLong,
}

/// Reads the complete body of a response and releases its slot.
pub(crate) async fn read_whole(
    body: Incoming,
    pending: Box<PendingResponse>,
    deadline: Instant,
    limit: usize,
) -> Result<Bytes, ReadError> {
    let reading = Limited::new(body, limit).collect();
    let read = tokio::time::timeout_at(tokio::time::Instant::from_std(deadline), reading).await;
    match read {
        Ok(Ok(collected)) => {
            pending.finish();
            Ok(collected.to_bytes())
        }
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLong),
        Ok(Err(_)) | Err(_) => Err(ReadError::Incomplete),
    }
}

/// The response to a caller if the response of the backend server was truncated before any of it was forwarded.
pub(crate) fn incomplete_response() -> Response<Body> {
    response::unknown(StatusCode::BAD_GATEWAY, "the response of the backend server is incomplete", None)
}

/// A response body that is streamed to the caller. An error of the backend connection also ends the connection to the
/// caller, so that a truncated response can't be mistaken for a complete one.
struct StreamedBody {
    body: Incoming,
    pending: Option<Box<PendingResponse>>,
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let ended = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        if ended && let Some(pending) = self.pending.take() {
            pending.finish();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
