//! JSON client with a pool of HTTP/1.1 connections.

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

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of TCP keepalive probes. Without them, a connection that went silent without a reset is only detected when
/// a call on it fails, and one call fails for each such connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed: a silent connection is closed after 3 s.
const KEEPALIVE_RETRIES: u32 = 2;
/// Idle connections kept per address. With fewer, each burst of starts needs new connections; more cost memory and file
/// descriptors, which are scarce on a leader with thousands of workers.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Error of a call.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The server can't have received the request.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been received and handled.
    #[error("no response: {0}")]
    Unknown(String),
    /// A response with a status other than 2xx.
    #[error("status {status}: {body}")]
    Status { status: StatusCode, body: String },
    /// A response that can't be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// Client for calls with small JSON bodies.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    max_response_bytes: usize,
    bearer: Option<http::HeaderValue>,
}

impl Client {
    /// Creates a client whose calls time out after `timeout` and whose responses have at most `max_response_bytes`.
    pub fn new(timeout: Duration, max_response_bytes: usize) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Client { pool, timeout, max_response_bytes, bearer: None }
    }

    /// Sends `key` as a bearer token with each JSON call. A key that is not a valid header value is ignored.
    pub fn with_bearer(mut self, key: &str) -> Client {
        self.bearer = http::HeaderValue::from_str(&format!("Bearer {key}")).ok();
        self
    }

    /// Sends `body` with a POST request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if `body` can't be encoded, the request can't be sent, no complete response is received within
    /// the timeout, or the response has a status other than 2xx or can't be decoded.
    pub async fn post<Q: Serialize, R: DeserializeOwned>(&self, url: &str, body: &Q) -> Result<R, ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|error| ClientError::NotSent(error.to_string()))?;
        self.call(Method::POST, url, Bytes::from(bytes)).await
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent, no complete response is received within the timeout, or the
    /// response has a status other than 2xx or can't be decoded.
    pub async fn get<R: DeserializeOwned>(&self, url: &str) -> Result<R, ClientError> {
        self.call(Method::GET, url, Bytes::new()).await
    }

    /// Sends a request and returns the status and body of the response, whatever the status.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent, or no complete response is received within `timeout`.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let exchange = async {
            let response = self.pool.request(request).await.map_err(convert_error)?;
            let status = response.status();
            let limited = Limited::new(response.into_body(), self.max_response_bytes);
            let bytes = limited.collect().await.map_err(|error| ClientError::Unknown(error.to_string()))?.to_bytes();
            Ok((status, bytes))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| ClientError::Unknown(format!("none within {timeout:?}")))?
    }

    /// Sends `body` with a PUT request and ignores the body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if `body` can't be encoded, the request can't be sent, no complete response is received within
    /// the timeout, or its status is not 2xx.
    pub async fn put<Q: Serialize>(&self, url: &str, body: &Q) -> Result<(), ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|error| ClientError::NotSent(error.to_string()))?;
        self.send_without_response_body(Method::PUT, url, Bytes::from(bytes)).await
    }

    /// Sends a DELETE request and ignores the body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent, no complete response is received within the timeout, or its
    /// status is not 2xx.
    pub async fn delete(&self, url: &str) -> Result<(), ClientError> {
        self.send_without_response_body(Method::DELETE, url, Bytes::new()).await
    }

    async fn send_without_response_body(&self, method: Method, url: &str, body: Bytes) -> Result<(), ClientError> {
        let (status, bytes) = self.send(request(method, url, body)?, self.timeout).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(ClientError::Status { status, body: String::from_utf8_lossy(&bytes).into_owned() }),
        }
    }

    async fn call<R: DeserializeOwned>(&self, method: Method, url: &str, body: Bytes) -> Result<R, ClientError> {
        let mut request = request(method, url, body)?;
        if let Some(bearer) = &self.bearer {
            request.headers_mut().insert(http::header::AUTHORIZATION, bearer.clone());
        }
        let exchange = self.exchange(request);
        let bytes = tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| ClientError::Unknown(format!("none within {:?}", self.timeout)))??;
        serde_json::from_slice(&bytes).map_err(|error| ClientError::Malformed(error.to_string()))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, ClientError> {
        let response = self.pool.request(request).await.map_err(convert_error)?;
        let status = response.status();
        let limited = Limited::new(response.into_body(), self.max_response_bytes);
        let bytes = limited.collect().await.map_err(|error| ClientError::Unknown(error.to_string()))?.to_bytes();
        if !status.is_success() {
            return Err(ClientError::Status { status, body: String::from_utf8_lossy(&bytes).into_owned() });
        }
        Ok(bytes)
    }

    /// Sends `body` with a POST request and returns the body of the response as a stream. The timeout only applies
    /// until the head of the response is received.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent, the head of the response is not received within the timeout, its
    /// status is not 2xx, or `body` can't be encoded.
    pub async fn stream<Q: Serialize>(&self, url: &str, body: &Q) -> Result<Incoming, ClientError> {
        let bytes = serde_json::to_vec(body).map_err(|error| ClientError::NotSent(error.to_string()))?;
        let request = request(Method::POST, url, Bytes::from(bytes))?;
        let response = tokio::time::timeout(self.timeout, self.pool.request(request))
            .await
            .map_err(|_| ClientError::Unknown(format!("none within {:?}", self.timeout)))?
            .map_err(convert_error)?;
        if !response.status().is_success() {
            return Err(ClientError::Status { status: response.status(), body: String::new() });
        }
        Ok(response.into_body())
    }
}

/// Creates a request with a JSON body.
///
/// # Errors
///
/// Returns an error if `url` is invalid.
pub fn request(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>, ClientError> {
    Request::builder()
        .method(method)
        .uri(url)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| ClientError::NotSent(error.to_string()))
}

fn convert_error(error: hyper_util::client::legacy::Error) -> ClientError {
    if error.is_connect() {
        return ClientError::NotSent(error.to_string());
    }
    ClientError::Unknown(error.to_string())
}
