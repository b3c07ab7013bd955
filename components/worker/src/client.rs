//! HTTP client for workers.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

use crate::protocol::{Batch, Hold, Refusal, Report};

/// Largest accepted report in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;
const CONFLICT: u16 = 409;

/// A call to a worker that returned no report.
#[derive(Debug, Error)]
pub enum WorkerError {
    /// Another host holds the worker under a higher epoch.
    #[error("superseded by {} with epoch {}", .0.holder, .0.epoch)]
    Superseded(Refusal),
    /// The request certainly did not reach the worker.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The worker may have executed the commands.
    #[error("unknown: {0}")]
    Unknown(String),
}

/// The calls that a worker supports.
#[async_trait]
pub trait Worker: Send + Sync {
    /// Takes over the worker.
    async fn hold(&self, hold: &Hold) -> Result<Report, WorkerError>;
    /// Renews all leases and executes commands.
    async fn batch(&self, batch: &Batch) -> Result<Report, WorkerError>;
}

/// HTTP client for one worker.
pub struct Client {
    http: web::Client,
    base: String,
}

impl Client {
    /// Creates a client for the worker at `address`. Calls time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Client {
        Client { http: web::Client::new(timeout, MAX_REPORT_BYTES), base: format!("http://{address}/v1") }
    }
}

#[async_trait]
impl Worker for Client {
    async fn hold(&self, hold: &Hold) -> Result<Report, WorkerError> {
        self.http.post(&format!("{}/hold", self.base), hold).await.map_err(convert_error)
    }

    async fn batch(&self, batch: &Batch) -> Result<Report, WorkerError> {
        self.http.post(&format!("{}/batch", self.base), batch).await.map_err(convert_error)
    }
}

fn convert_error(error: web::ClientError) -> WorkerError {
    match error {
        web::ClientError::NotSent(message) => WorkerError::NotSent(message),
        web::ClientError::Status { status, body } if status.as_u16() == CONFLICT => match serde_json::from_str(&body) {
            Ok(refusal) => WorkerError::Superseded(refusal),
            Err(_) => WorkerError::Unknown(format!("status 409 with an unreadable body: {body}")),
        },
        other => WorkerError::Unknown(other.to_string()),
    }
}
