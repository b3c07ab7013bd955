//! HTTP/1.1 server with graceful shutdown.

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

/// Body of a response, streamed or complete.
pub type Body = BoxBody<Bytes, hyper::Error>;

/// Longest time to receive the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Delay after a failed accept, for example without free file descriptors, which prevents a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Creates a body from bytes that are already complete.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

/// Reads a complete body of at most `limit` bytes. Returns `None` if it is longer or incomplete.
pub async fn read_limited(body: Incoming, limit: usize) -> Option<Bytes> {
    Limited::new(body, limit).collect().await.ok().map(|collected| collected.to_bytes())
}

/// Accepts connections until `stop` completes, then waits up to `grace` for requests in progress.
///
/// At most `max_connections` are open at a time; further ones wait in the backlog of the listener.
pub async fn serve<H, F>(
    listener: TcpListener,
    max_connections: usize,
    stop: impl Future<Output = ()>,
    grace: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(max_connections));
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request, caller);
            async move { Ok::<_, Infallible>(response.await) }
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
