//! Serves HTTP/1.1 connections until told to stop.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Body of an answer, streamed or whole.
pub type Body = BoxBody<Bytes, hyper::Error>;

/// A caller has this long to send its request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// After a failed accept (no file descriptors left, say) the loop pauses instead of spinning.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A body that is already whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(full(bytes));
    *answer.status_mut() = status;
    answer.headers_mut().insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    answer
}

/// Reads a body of at most `limit` bytes; `None` when it is longer or breaks off.
pub async fn read_limited(body: Incoming, limit: usize) -> Option<Bytes> {
    Limited::new(body, limit).collect().await.ok().map(|collected| collected.to_bytes())
}

/// Accepts connections until `stop` completes, then lets requests in flight finish within `grace`.
///
/// At most `connections` are open at once; more wait in the listener's backlog.
pub async fn serve<H, F>(
    listener: TcpListener,
    connections: usize,
    stop: impl Future<Output = ()>,
    grace: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(connections));
    tokio::pin!(stop);
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            () = &mut stop => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        let Ok((stream, caller)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request, caller);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
            drop(permit);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(grace, graceful.shutdown()).await;
}
