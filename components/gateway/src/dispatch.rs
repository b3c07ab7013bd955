//! Sends an admitted request to an instance, again only where it surely did not run, and brings the answer
//! back whole or visibly broken.

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

use crate::answer;
use crate::body::Outgoing;
use crate::link::{Connection, Sent};
use crate::service::{Service, Slot};

/// Answers up to this size are read whole before they are passed on: their slot is free at once, however
/// slowly the caller reads.
const READ_WHOLE: u64 = 64 * 1024;
/// Retries of one request at the most.
const MOST_RETRIES: u32 = 3;

/// Headers that concern one connection only.
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
/// Headers that only walkhook sets.
const INTERNAL: &str = "x-walkhook-";

/// How a dispatch ended.
pub(crate) enum Dispatched {
    /// The head of an answer came; its body follows.
    Answered(Response<Incoming>, Box<Held>),
    /// Refused before anything was sent.
    Refused(Refusal),
    /// Nothing was sent to any instance.
    NotRun,
    /// It may have run.
    Unknown(String),
}

/// The slot and connection of an answer that is being read.
pub(crate) struct Held {
    slot: Slot,
    connection: Connection,
}

impl Held {
    /// The answer was read to its end.
    fn finish(self) {
        self.slot.service().links.keep(self.slot.pick.address, self.connection);
        self.slot.answered();
    }
}

/// Removes headers that must not be passed on.
pub(crate) fn clean(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let internal: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(INTERNAL)).cloned().collect();
    for name in HOP_BY_HOP.iter().chain(&named).chain(&internal) {
        headers.remove(name);
    }
}

/// Runs a request on an instance of the service.
pub(crate) async fn dispatch(service: &Arc<Service>, ask: &SlotRequest, parts: &Parts, body: Outgoing) -> Dispatched {
    let mut slot = match service.slot(ask).await {
        Ok(slot) => slot,
        Err(refusal) => return Dispatched::Refused(refusal),
    };
    let mut request = outgoing(parts, body, &slot);
    for _ in 0..=MOST_RETRIES {
        let sending = service.links.send(slot.pick.address, request);
        let deadline = tokio::time::Instant::from_std(ask.deadline);
        let sent = match tokio::time::timeout_at(deadline, sending).await {
            Ok(sent) => sent,
            Err(_) => {
                slot.abandoned();
                return Dispatched::Unknown("no answer before the deadline".to_owned());
            }
        };
        match sent {
            Sent::Answered(answer, connection) => {
                return Dispatched::Answered(answer, Box::new(Held { slot, connection }));
            }
            Sent::Unknown(why) => return Dispatched::Unknown(why),
            Sent::Back(back) => request = *back,
        }
        let failed = slot.pick.name.clone();
        drop(slot);
        if Instant::now() >= ask.deadline {
            return Dispatched::NotRun;
        }
        match service.another(&failed) {
            Some(another) => slot = another,
            None => return Dispatched::NotRun,
        }
    }
    Dispatched::NotRun
}

/// The request as it is sent.
fn outgoing(parts: &Parts, body: Outgoing, slot: &Slot) -> Request<Outgoing> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    // Backend servers expect the path alone, whatever form the caller used.
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    *request.headers_mut() = parts.headers.clone();
    clean(request.headers_mut());
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = slot.pick.address.to_string().parse()
    {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

/// Turns an answer into the caller's: read whole when small, else passed on as it comes.
pub(crate) async fn pass_on(answer: Response<Incoming>, held: Box<Held>, deadline: Instant) -> Response<Body> {
    let (mut parts, body) = answer.into_parts();
    clean(&mut parts.headers);
    let small = body.size_hint().upper().is_some_and(|upper| upper <= READ_WHOLE);
    if !small {
        return Response::from_parts(parts, Tracked { body, held: Some(held) }.boxed());
    }
    match read_whole(body, held, deadline, READ_WHOLE as usize).await {
        Ok(bytes) => Response::from_parts(parts, web::full(bytes)),
        Err(_) => broken(),
    }
}

/// Why a body could not be read whole.
pub(crate) enum Unread {
    /// It broke off, or did not end before the deadline.
    Broken,
    /// It is longer than the limit.
    Long,
}

/// Reads an answer's body to its end and frees its slot.
pub(crate) async fn read_whole(
    body: Incoming,
    held: Box<Held>,
    deadline: Instant,
    limit: usize,
) -> Result<Bytes, Unread> {
    let reading = Limited::new(body, limit).collect();
    let read = tokio::time::timeout_at(tokio::time::Instant::from_std(deadline), reading).await;
    match read {
        Ok(Ok(collected)) => {
            held.finish();
            Ok(collected.to_bytes())
        }
        Ok(Err(fault)) if fault.is::<http_body_util::LengthLimitError>() => Err(Unread::Long),
        Ok(Err(_)) | Err(_) => Err(Unread::Broken),
    }
}

/// The answer to a caller whose backend server's answer broke off before any of it was passed on.
pub(crate) fn broken() -> Response<Body> {
    answer::unknown(StatusCode::BAD_GATEWAY, "the backend server's answer broke off", None)
}

/// A body that is passed on as it comes. When it breaks off, so does the caller's connection: a part is never
/// shown as the whole.
struct Tracked {
    body: Incoming,
    held: Option<Box<Held>>,
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let ended = matches!(polled, Poll::Ready(None)) || self.body.is_end_stream();
        if ended && let Some(held) = self.held.take() {
            held.finish();
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
