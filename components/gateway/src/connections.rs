//! Connections to backend servers. A connection carries one request at a time and is only reused after its response has
//! been read completely, so that no response can reach the wrong caller.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use request::Instance;
use tokio::net::TcpStream;

use crate::body::RequestBody;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_IDLE_PER_INSTANCE: usize = 8;

pub(crate) type Connection = SendRequest<RequestBody>;

/// The outcome of sending a request over a connection.
pub(crate) enum SendOutcome {
    /// The head of a response was received.
    Answered(Response<Incoming>, Connection),
    /// No byte of the request was sent; returns the request.
    NotSent(Box<Request<RequestBody>>),
    /// At least part of the request was sent, and no response was received.
    Unknown(String),
}

/// Idle connections by address of the instance.
#[derive(Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Connections {
    /// Closes connections to instances that no longer exist.
    pub(crate) fn retain(&self, instances: &[Instance]) {
        self.idle.lock().retain(|address, _| instances.iter().any(|instance| instance.address == *address));
    }

    /// Keeps a connection whose last response has been read completely.
    pub(crate) fn keep(&self, address: SocketAddr, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let idle_connections = idle.entry(address).or_default();
        if idle_connections.len() < MAX_IDLE_PER_INSTANCE {
            idle_connections.push(connection);
        }
    }

    fn reuse(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let idle_connections = idle.get_mut(&address)?;
        while let Some(connection) = idle_connections.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Sends a request to an instance over an idle connection, or a new one if there is none.
    pub(crate) async fn send(&self, address: SocketAddr, request: Request<RequestBody>) -> SendOutcome {
        let mut request = request;
        if let Some(connection) = self.reuse(address) {
            match send_on(connection, request).await {
                // The instance has closed the idle connection: retries with a new one.
                SendOutcome::NotSent(returned) => request = *returned,
                sent => return sent,
            }
        }
        match connect(address).await {
            Some(connection) => send_on(connection, request).await,
            None => SendOutcome::NotSent(Box::new(request)),
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        // Errors are also returned to the request that uses the connection.
        let _ = connection.await;
    });
    Some(sender)
}

async fn send_on(mut connection: Connection, request: Request<RequestBody>) -> SendOutcome {
    if connection.ready().await.is_err() {
        return SendOutcome::NotSent(Box::new(request));
    }
    match connection.try_send_request(request).await {
        Ok(response) => SendOutcome::Answered(response, connection),
        Err(mut error) => match error.take_message() {
            Some(request) => SendOutcome::NotSent(Box::new(request)),
            None => SendOutcome::Unknown(error.into_error().to_string()),
        },
    }
}
