//! Request bodies sent to instances.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use web::{Incoming, ReadError, Reservation};

use crate::state::Gateway;

/// Bytes of a body that are read before a slot is acquired, so that slow or failing callers occupy no slot and most
/// requests are complete before any byte is sent to an instance.
const PREFETCH_BYTES: usize = 64 * 1024;

/// The body of a request to an instance.
pub(crate) type RequestBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// Creates a body from bytes that are already complete.
pub(crate) fn whole(bytes: Bytes) -> RequestBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Reads the beginning of a caller's body. The rest of a longer one is streamed, up to the limit of a body in total.
pub(crate) async fn read_first(
    gateway: &Gateway,
    mut body: Incoming,
    deadline: Instant,
) -> Result<RequestBody, ReadError> {
    let declared_length = body.size_hint().exact();
    let limit = gateway.limits.max_body;
    let max = usize::try_from(limit).unwrap_or(usize::MAX);
    let prefix = gateway.memory.read_beginning(&mut body, PREFETCH_BYTES, max, deadline).await?;
    let (prefix, reservation) = prefix.into_parts();
    if prefix.is_empty() {
        return Ok(whole(prefix));
    }
    let remaining = limit.saturating_sub(prefix.len() as u64);
    let declared_length = declared_length.or(body.is_end_stream().then_some(prefix.len() as u64));
    let prefixed =
        PrefixedBody { prefix: Some(prefix), rest: body, remaining, declared_length, _reservation: reservation };
    Ok(prefixed.boxed_unsync())
}

/// A body whose beginning has already been read.
struct PrefixedBody {
    prefix: Option<Bytes>,
    rest: Incoming,
    /// Bytes that may still follow within the limit.
    remaining: u64,
    /// The total length, if the caller declared it.
    declared_length: Option<u64>,
    /// Memory of the beginning, until the body is sent.
    _reservation: Option<Reservation>,
}

impl HttpBody for PrefixedBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(context);
        let Poll::Ready(Some(Ok(frame))) = polled else {
            return polled.map(|frame| frame.map(|result| result.map_err(Into::into)));
        };
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        match self.remaining.checked_sub(length) {
            Some(remaining) => {
                self.remaining = remaining;
                Poll::Ready(Some(Ok(frame)))
            }
            None => Poll::Ready(Some(Err("the body is larger than the limit".into()))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        // Without a declared length, the body is sent to the instance in chunked encoding.
        self.declared_length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
