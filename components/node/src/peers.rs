//! Requests between entry hosts over TCP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::Metrics;
use parking_lot::Mutex;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use wire::{Answer, Key, Request};

use crate::shared::Shared;

/// Longest wait for an answer from a peer.
pub(crate) const PATIENCE: Duration = Duration::from_millis(800);
/// A connection without a request for so long is closed by its server.
const IDLE: Duration = Duration::from_secs(60);
/// Idle connections kept to one peer.
const KEPT: usize = 4;
/// Connections that peers may have open here.
const MOST: usize = 512;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It surely did not get the request.
    NotSent,
    /// It may have carried the request out.
    Unknown,
}

/// Connections to the other entry hosts.
pub(crate) struct Links {
    key: Key,
    metrics: Metrics,
    log: Logger,
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

impl Links {
    pub(crate) fn new(key: Key, metrics: Metrics, log: Logger) -> Links {
        Links { key, metrics, log, idle: Mutex::default() }
    }

    pub(crate) fn key(&self) -> &Key {
        &self.key
    }

    /// Sends a request to the peer at `address`.
    pub(crate) async fn call(&self, address: SocketAddr, request: &Request) -> Result<Answer, Fault> {
        let exchange = self.exchange(address, request);
        tokio::time::timeout(PATIENCE, exchange).await.unwrap_or(Err(Fault::Unknown))
    }

    async fn exchange(&self, address: SocketAddr, request: &Request) -> Result<Answer, Fault> {
        if let Some(mut stream) = self.reuse(address)
            && let Ok(answer) = self.ask(&mut stream, request).await
        {
            self.keep(address, stream);
            return Ok(answer);
        }
        // Every request may be repeated: orders carry their attempt, pulls change nothing.
        let mut stream = TcpStream::connect(address).await.map_err(|_| Fault::NotSent)?;
        let _ = stream.set_nodelay(true);
        let answer = self.ask(&mut stream, request).await.map_err(|fault| {
            if fault.kind() == std::io::ErrorKind::InvalidData {
                let (peer, why) = (address.to_string(), fault.to_string());
                events::emit!(self.log, events::MESSAGE_REFUSED, "peer" => peer, "why" => why);
            }
            Fault::Unknown
        })?;
        self.keep(address, stream);
        Ok(answer)
    }

    async fn ask(&self, stream: &mut TcpStream, request: &Request) -> std::io::Result<Answer> {
        let sent = wire::write(stream, &self.key, request).await?;
        self.metrics.control("peer_sent", sent);
        let answer = wire::read(stream, &self.key).await?;
        let (answer, received) = answer.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        self.metrics.control("peer_received", received);
        Ok(answer)
    }

    fn reuse(&self, address: SocketAddr) -> Option<TcpStream> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(stream);
        }
    }
}

/// Answers peers until the process ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MOST));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        tokio::spawn(async move {
            converse(&shared, stream, peer).await;
            drop(permit);
        });
    }
}

async fn converse(shared: &Arc<Shared>, mut stream: TcpStream, peer: SocketAddr) {
    let key = shared.links.key().clone();
    loop {
        let read = tokio::time::timeout(IDLE, wire::read::<Request>(&mut stream, &key)).await;
        let request = match read {
            Ok(Ok(Some((request, _)))) => request,
            Ok(Err(fault)) if fault.kind() == std::io::ErrorKind::InvalidData => {
                events::emit!(shared.log, events::MESSAGE_REFUSED, "peer" => peer.to_string(), "why" => fault.to_string());
                return;
            }
            _ => return,
        };
        let answer = crate::answer::answer(shared, request).await;
        if wire::write(&mut stream, &key, &answer).await.is_err() {
            return;
        }
    }
}
