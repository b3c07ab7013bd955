//! HTTP/1.1 server with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Body as HttpBody;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::budget::Budget;
use crate::connections::{Connection, Connections};
use crate::incoming::{Incoming, Outgoing};
use crate::stream::Stream;

/// Body of a response, streamed or complete.
pub type Body = BoxBody<Bytes, hyper::Error>;

/// Longest time to receive the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADERS: usize = 64;
/// Size of the buffer for reading, which bounds the head of a request. Each connection may hold one.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Size of the system's buffer for what a client has sent and the process hasn't read, of which the system takes up to
/// twice as much.
const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
/// Size of the system's buffer for what a client hasn't read of its responses. As much again may be in use.
const SEND_BUFFER_BYTES: u32 = 32 * 1024;
/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;
/// Longest time to receive a body from a trusted client.
const TRUSTED_BODY_TIMEOUT: Duration = Duration::from_secs(60);
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

/// Reads a complete body of at most `limit` bytes from a trusted client. Returns `None` if it is longer or incomplete.
pub async fn read_limited<B: HttpBody<Data = Bytes> + Unpin>(body: B, limit: usize) -> Option<Bytes> {
    // The old buffer is still there while the content moves to one of twice the size.
    let budget = Budget::new(limit.saturating_mul(2));
    let buffer = budget.read(body, limit, Instant::now() + TRUSTED_BODY_TIMEOUT).await.ok()?;
    Some(buffer.into_parts().0)
}

/// Serves trusted clients, over at most `max_connections` connections; see [`serve_clients`].
pub async fn serve<H, F>(
    listener: TcpListener,
    max_connections: usize,
    stop: impl Future<Output = ()>,
    grace: Duration,
    handler: H,
) where
    H: Fn(Request<hyper::body::Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let begin = move |request: Request<hyper::body::Incoming>, caller, connection: Arc<Connection>| {
        connection.begin_request();
        handler(request, caller)
    };
    accept(listener, Connections::new(max_connections), stop, grace, begin).await;
}

/// Listens on an address for [`serve_clients`].
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Connections inherit both. The system's defaults grow with what a client sends, or doesn't read.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves clients that may not complete what they send. Accepts connections until `stop` completes, then waits up to
/// `grace` for requests in progress.
pub async fn serve_clients<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    stop: impl Future<Output = ()>,
    grace: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let begin = move |request: Request<hyper::body::Incoming>, caller, connection| {
        handler(request.map(|body| Incoming::new(body, connection)), caller)
    };
    accept(listener, connections, stop, grace, begin).await;
}

async fn accept<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    stop: impl Future<Output = ()>,
    grace: Duration,
    handler: H,
) where
    H: Fn(Request<hyper::body::Incoming>, SocketAddr, Arc<Connection>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        let Ok((stream, caller)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = tokio::select! {
            connection = connections.admit() => connection,
            () = &mut stop => break,
        };
        serve_connection(&graceful, stream, caller, connection, handler.clone());
    }
    drop(listener);
    let _ = tokio::time::timeout(grace, graceful.shutdown()).await;
}

/// Serves a connection in a task of its own, until it ends or another connection takes its place.
fn serve_connection<H, F>(
    graceful: &GracefulShutdown,
    stream: TcpStream,
    caller: SocketAddr,
    connection: Arc<Connection>,
    handler: H,
) where
    H: Fn(Request<hyper::body::Incoming>, SocketAddr, Arc<Connection>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let served = connection.clone();
    let service = service_fn(move |request| {
        let response = handler(request, caller, served.clone());
        let connection = served.clone();
        async move { Ok::<_, Infallible>(response.await.map(|body| Outgoing::new(body, connection))) }
    });
    let serving = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Stream::new(stream)), service);
    let watched = graceful.watch(serving);
    tokio::spawn(async move {
        tokio::select! {
            _ = watched => {}
            () = connection.close_requested() => {}
        }
    });
}
