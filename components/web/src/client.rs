//! A JSON client over pooled HTTP/1.1 connections.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A connection without a call for so long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// A connection without traffic is probed this often. One that went silent without a reset shows in no other way until a call
/// is lost on it, and a call is lost on each.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is closed: a silent one is gone after 3 s.
const PROBES: u32 = 2;
/// Most connections to one address that stay open without a call. Fewer cost a new connection for each burst of starts, more
/// cost memory and descriptors, of which a leader of thousands of workers has few to spare.
const IDLE_CONNECTIONS: usize = 4;

/// Why a call brought no answer that can be used.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection: the other side surely received nothing.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been received and carried out.
    #[error("no answer: {0}")]
    Unknown(String),
    /// An answer with a status other than 2xx.
    #[error("status {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body, as text.
        body: String,
    },
    /// An answer that can't be read.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A pool of connections for calls with small JSON bodies.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    limit: usize,
    bearer: Option<http::HeaderValue>,
}

impl Client {
    /// Creates a client whose calls end after `timeout` and whose answers have at most `limit` bytes.
    pub fn new(timeout: Duration, limit: usize) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(PROBE));
        connector.set_keepalive_interval(Some(PROBE));
        connector.set_keepalive_retries(Some(PROBES));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Client { pool, timeout, limit, bearer: None }
    }

    /// Shows a key as a bearer token with each call. A key that can't stand in a header is left out.
    pub fn with_bearer(mut self, key: &str) -> Client {
        self.bearer = http::HeaderValue::from_str(&format!("Bearer {key}")).ok();
        self
    }

    /// Sends `body` by POST and reads the JSON answer.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(&self, url: &str, body: &Q) -> Result<A, ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|fault| ClientError::NotSent(fault.to_string()))?;
        self.call(Method::POST, url, Bytes::from(bytes)).await
    }

    /// Reads the JSON answer to a GET.
    pub async fn get<A: DeserializeOwned>(&self, url: &str) -> Result<A, ClientError> {
        self.call(Method::GET, url, Bytes::new()).await
    }

    /// Sends a call and reads its whole answer, whatever the status, within `timeout`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let exchange = async {
            let answer = self.pool.request(request).await.map_err(from_pool)?;
            let status = answer.status();
            let limited = Limited::new(answer.into_body(), self.limit);
            let bytes = limited.collect().await.map_err(|fault| ClientError::Unknown(fault.to_string()))?.to_bytes();
            Ok((status, bytes))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| ClientError::Unknown(format!("none within {timeout:?}")))?
    }

    /// Sends `body` by PUT; the answer has no content.
    pub async fn put<Q: Serialize>(&self, url: &str, body: &Q) -> Result<(), ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|fault| ClientError::NotSent(fault.to_string()))?;
        self.without_content(Method::PUT, url, Bytes::from(bytes)).await
    }

    /// Sends a DELETE; the answer has no content.
    pub async fn delete(&self, url: &str) -> Result<(), ClientError> {
        self.without_content(Method::DELETE, url, Bytes::new()).await
    }

    async fn without_content(&self, method: Method, url: &str, body: Bytes) -> Result<(), ClientError> {
        let (status, bytes) = self.send(request(method, url, body)?, self.timeout).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(ClientError::Status { status, body: String::from_utf8_lossy(&bytes).into_owned() }),
        }
    }

    async fn call<A: DeserializeOwned>(&self, method: Method, url: &str, body: Bytes) -> Result<A, ClientError> {
        let mut request = request(method, url, body)?;
        if let Some(bearer) = &self.bearer {
            request.headers_mut().insert(http::header::AUTHORIZATION, bearer.clone());
        }
        let exchange = self.exchange(request);
        let bytes = tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| ClientError::Unknown(format!("none within {:?}", self.timeout)))??;
        serde_json::from_slice(&bytes).map_err(|fault| ClientError::Malformed(fault.to_string()))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, ClientError> {
        let answer = self.pool.request(request).await.map_err(from_pool)?;
        let status = answer.status();
        let limited = Limited::new(answer.into_body(), self.limit);
        let bytes = limited.collect().await.map_err(|fault| ClientError::Unknown(fault.to_string()))?.to_bytes();
        if !status.is_success() {
            return Err(ClientError::Status { status, body: String::from_utf8_lossy(&bytes).into_owned() });
        }
        Ok(bytes)
    }

    /// Opens a call whose answer is read piece by piece, without a limit on its time.
    pub async fn stream<Q: Serialize>(&self, url: &str, body: &Q) -> Result<Incoming, ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|fault| ClientError::NotSent(fault.to_string()))?;
        let request = request(Method::POST, url, Bytes::from(bytes))?;
        let answer = tokio::time::timeout(self.timeout, self.pool.request(request))
            .await
            .map_err(|_| ClientError::Unknown(format!("none within {:?}", self.timeout)))?
            .map_err(from_pool)?;
        if !answer.status().is_success() {
            return Err(ClientError::Status { status: answer.status(), body: String::new() });
        }
        Ok(answer.into_body())
    }
}

/// A request with a JSON body.
pub fn request(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>, ClientError> {
    Request::builder()
        .method(method)
        .uri(url)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|fault| ClientError::NotSent(fault.to_string()))
}

fn from_pool(fault: hyper_util::client::legacy::Error) -> ClientError {
    if fault.is_connect() {
        return ClientError::NotSent(fault.to_string());
    }
    ClientError::Unknown(fault.to_string())
}
