//! Calls a worker over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

use crate::protocol::{Batch, Hold, Refusal, Report};

const MAX_REPORT: usize = 1024 * 1024;
const CONFLICT: u16 = 409;

/// Why a worker gave no report.
#[derive(Debug, Error)]
pub enum WorkerError {
    /// Another host holds the worker under a higher epoch.
    #[error("superseded by {} with epoch {}", .0.holder, .0.epoch)]
    Superseded(Refusal),
    /// The command surely did not arrive.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The command may have been carried out.
    #[error("unknown: {0}")]
    Unknown(String),
}

/// What the product needs of a worker.
#[async_trait]
pub trait Worker: Send + Sync {
    /// Takes the worker over.
    async fn hold(&self, hold: &Hold) -> Result<Report, WorkerError>;
    /// Renews all leases and carries out commands.
    async fn batch(&self, batch: &Batch) -> Result<Report, WorkerError>;
}

/// A worker behind an address.
pub struct Client {
    http: web::Client,
    base: String,
}

impl Client {
    /// Creates a client for the worker at `address`; each call ends after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Client {
        Client { http: web::Client::new(timeout, MAX_REPORT), base: format!("http://{address}/v1") }
    }
}

#[async_trait]
impl Worker for Client {
    async fn hold(&self, hold: &Hold) -> Result<Report, WorkerError> {
        self.http.post(&format!("{}/hold", self.base), hold).await.map_err(from_web)
    }

    async fn batch(&self, batch: &Batch) -> Result<Report, WorkerError> {
        self.http.post(&format!("{}/batch", self.base), batch).await.map_err(from_web)
    }
}

fn from_web(fault: web::Fault) -> WorkerError {
    match fault {
        web::Fault::NotSent(message) => WorkerError::NotSent(message),
        web::Fault::Status { status, body } if status.as_u16() == CONFLICT => match serde_json::from_str(&body) {
            Ok(refusal) => WorkerError::Superseded(refusal),
            Err(_) => WorkerError::Unknown(format!("status 409 with an unreadable body: {body}")),
        },
        other => WorkerError::Unknown(other.to_string()),
    }
}
