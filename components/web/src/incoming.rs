//! Bodies of requests as a server receives them, and of responses as it sends them. Both tell the server's table of
//! connections for whom a connection waits.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::connections::Connection;
use crate::server::Body;

/// How long, and up to which size, the rest of a body is read that isn't needed any more. Without that, the connection
/// would be reset, and a client that sends its whole request before it reads wouldn't see the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

/// The body of a request. What is left of it when it is dropped is read and discarded.
pub struct Incoming {
    /// `None` once it is complete.
    body: Option<hyper::body::Incoming>,
    connection: Arc<Connection>,
}

impl Incoming {
    pub(crate) fn new(body: hyper::body::Incoming, connection: Arc<Connection>) -> Incoming {
        let mut incoming = Incoming { body: Some(body), connection };
        incoming.check_end();
        incoming
    }

    /// Records that a request is in progress once its body is complete.
    fn check_end(&mut self) {
        if self.body.as_ref().is_some_and(HttpBody::is_end_stream) {
            self.end();
        }
    }

    fn end(&mut self) {
        if self.body.take().is_some() {
            self.connection.begin_request();
        }
    }
}

impl HttpBody for Incoming {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let polled = Pin::new(body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.end(),
            Poll::Ready(Some(_)) => self.check_end(),
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(|| SizeHint::with_exact(0), HttpBody::size_hint)
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else { return };
        // There is no runtime any more when the process ends.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(tokio::time::timeout(DISCARD_TIMEOUT, discard(body)));
        }
    }
}

async fn discard(mut body: hyper::body::Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

/// The body of a response. When it is sent, the connection waits for the client's next request.
pub(crate) struct Outgoing {
    body: Body,
    connection: Arc<Connection>,
}

impl Outgoing {
    pub(crate) fn new(body: Body, connection: Arc<Connection>) -> Outgoing {
        Outgoing { body, connection }
    }
}

impl HttpBody for Outgoing {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.connection.wait();
    }
}
