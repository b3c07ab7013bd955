//! Requests between entry hosts over TCP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::Metrics;
use parking_lot::Mutex;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use wire::{Answer, Key, Request};

use crate::shared::Shared;

/// Timeout of a call to a peer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The server closes a connection on which no request arrives for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of idle connections that are kept open to a peer.
const MAX_IDLE_PER_PEER: usize = 4;
/// Maximum number of connections from peers.
const MAX_CONNECTIONS: usize = 512;
/// Largest frame that any number of connections may receive at the same time, in bytes. Anyone may connect, and a frame is
/// checked only once it is complete.
const SMALL_FRAME_BYTES: usize = 64 * 1024;
/// Number of larger frames that are received at the same time.
const LARGE_FRAMES: usize = 4;
/// Longest time to receive a frame. The peer's own call has a shorter time limit.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The reason why a call returned no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The peer certainly did not receive the request.
    NotSent,
    /// The peer may have executed the request.
    Unknown,
}

/// Connections to the other entry hosts.
pub(crate) struct PeerClient {
    key: Key,
    metrics: Metrics,
    log: Logger,
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

impl PeerClient {
    pub(crate) fn new(key: Key, metrics: Metrics, log: Logger) -> PeerClient {
        PeerClient { key, metrics, log, idle: Mutex::default() }
    }

    pub(crate) fn key(&self) -> &Key {
        &self.key
    }

    /// Sends a request to the peer at `address`.
    pub(crate) async fn call(&self, address: SocketAddr, request: &Request) -> Result<Answer, CallError> {
        let send = self.send(address, request);
        tokio::time::timeout(CALL_TIMEOUT, send).await.unwrap_or(Err(CallError::Unknown))
    }

    async fn send(&self, address: SocketAddr, request: &Request) -> Result<Answer, CallError> {
        if let Some(mut stream) = self.take_idle(address)
            && let Ok(answer) = self.send_over(&mut stream, request).await
        {
            self.put_idle(address, stream);
            return Ok(answer);
        }
        // Requests can be repeated safely: orders contain the attempt number, and pulls have no side effects.
        let mut stream = TcpStream::connect(address).await.map_err(|_| CallError::NotSent)?;
        let _ = stream.set_nodelay(true);
        let answer = self.send_over(&mut stream, request).await.map_err(|error| {
            if error.kind() == std::io::ErrorKind::InvalidData {
                let (peer, reason) = (address.to_string(), error.to_string());
                events::emit!(self.log, events::MESSAGE_REFUSED, "peer" => peer, "why" => reason);
            }
            CallError::Unknown
        })?;
        self.put_idle(address, stream);
        Ok(answer)
    }

    async fn send_over(&self, stream: &mut TcpStream, request: &Request) -> std::io::Result<Answer> {
        let sent = wire::write_frame(stream, &self.key, request).await?;
        self.metrics.record_control_bytes("peer_sent", sent);
        let answer = wire::read_frame(stream, &self.key).await?;
        let (answer, received) = answer.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        self.metrics.record_control_bytes("peer_received", received);
        Ok(answer)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    fn put_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(stream);
        }
    }
}

/// Serves requests from peers until the process ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let large_frames = Arc::new(Semaphore::new(LARGE_FRAMES));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (shared, large_frames) = (shared.clone(), large_frames.clone());
        tokio::spawn(async move {
            serve_connection(&shared, stream, peer, &large_frames).await;
            drop(permit);
        });
    }
}

async fn serve_connection(shared: &Arc<Shared>, mut stream: TcpStream, peer: SocketAddr, large_frames: &Semaphore) {
    let key = shared.peer_client.key().clone();
    loop {
        let request = match read_request(&mut stream, &key, large_frames).await {
            Ok(Some(request)) => request,
            Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                events::emit!(shared.log, events::MESSAGE_REFUSED, "peer" => peer.to_string(), "why" => error.to_string());
                return;
            }
            _ => return,
        };
        let answer = crate::answer::answer(shared, request).await;
        if wire::write_frame(&mut stream, &key, &answer).await.is_err() {
            return;
        }
    }
}

/// Reads the next request; `None` if there is none in time.
async fn read_request(stream: &mut TcpStream, key: &Key, large_frames: &Semaphore) -> std::io::Result<Option<Request>> {
    let Ok(length) = tokio::time::timeout(IDLE_TIMEOUT, wire::read_length(stream)).await else { return Ok(None) };
    let Some(length) = length? else { return Ok(None) };
    let _permit = if length > SMALL_FRAME_BYTES { large_frames.acquire().await.ok() } else { None };
    match tokio::time::timeout(FRAME_TIMEOUT, wire::read_message(stream, key, length)).await {
        Ok(read) => read.map(|(request, _)| Some(request)),
        Err(_) => Ok(None),
    }
}
