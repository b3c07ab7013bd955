//! The HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HandlerTaskMode, HttpError, HttpResponseOk, HttpServer, Path, RequestContext,
    ServerBuilder, TypedBody, endpoint,
};
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::Logger;
use uuid::Uuid;

use crate::types::{Command, Health, Outcome};

/// Largest body: a plan of many workloads.
const MAX_BODY: usize = 4 * 1024 * 1024;
const BEARER: &str = "Bearer ";

/// What stands behind the interface.
#[async_trait]
pub trait OperatorHandler: Send + Sync + 'static {
    /// Carries a statement out.
    async fn execute(&self, command: Command) -> Outcome;
    /// The outcome of an earlier command.
    async fn outcome(&self, command: Uuid) -> Outcome;
    /// How this host stands.
    fn health(&self) -> Health;
    /// The metrics in the text format of Prometheus.
    fn metrics(&self) -> String;
    /// The key that operators must show.
    fn shared_key(&self) -> &str;
}

type Context = Arc<dyn OperatorHandler>;

/// Starts the server. Closing the returned handle lets requests in flight finish.
pub fn start(address: SocketAddr, operators: Context, log: &Logger) -> Result<HttpServer<Context>, String> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY,
        // A command goes on to its end when its client hangs up: half of it must not be left undone.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let api = description()?;
    ServerBuilder::new(api, operators, log.clone()).config(config).start().map_err(|fault| fault.to_string())
}

/// The interface, for the server and for its OpenAPI document.
pub fn description() -> Result<ApiDescription<Context>, String> {
    let mut api = ApiDescription::new();
    let fault = |fault: dropshot::ApiDescriptionRegisterError| fault.to_string();
    api.register(execute).map_err(fault)?;
    api.register(outcome).map_err(fault)?;
    api.register(health).map_err(fault)?;
    api.register(metrics).map_err(fault)?;
    Ok(api)
}

/// Compares digests, which `blake3` does in constant time, so that the time tells nothing about the key.
fn authorized(request: &RequestContext<Context>) -> Result<(), HttpError> {
    let shown = request.request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let shown = shown.and_then(|value| value.strip_prefix(BEARER)).unwrap_or_default();
    let expected = request.context().shared_key();
    if blake3::hash(shown.as_bytes()) == blake3::hash(expected.as_bytes()) {
        return Ok(());
    }
    let message = "show the cell's shared key as a bearer token".to_owned();
    Err(HttpError::for_client_error(None, dropshot::ClientErrorStatusCode::UNAUTHORIZED, message))
}

/// Carry out one statement
#[endpoint { method = POST, path = "/v1/statements" }]
async fn execute(
    request: RequestContext<Context>,
    body: TypedBody<Command>,
) -> Result<HttpResponseOk<Outcome>, HttpError> {
    authorized(&request)?;
    Ok(HttpResponseOk(request.context().execute(body.into_inner()).await))
}

/// Path of a command.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
struct CommandPath {
    /// Id of the command.
    command: Uuid,
}

/// Ask for the outcome of an earlier command
#[endpoint { method = GET, path = "/v1/commands/{command}" }]
async fn outcome(
    request: RequestContext<Context>,
    path: Path<CommandPath>,
) -> Result<HttpResponseOk<Outcome>, HttpError> {
    authorized(&request)?;
    Ok(HttpResponseOk(request.context().outcome(path.into_inner().command).await))
}

/// How this entry host stands; needs no key
#[endpoint { method = GET, path = "/v1/health" }]
async fn health(request: RequestContext<Context>) -> Result<HttpResponseOk<Health>, HttpError> {
    Ok(HttpResponseOk(request.context().health()))
}

/// Metrics in the text format of Prometheus; needs no key
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(request: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(Body::from(request.context().metrics()))
        .map_err(|fault| HttpError::for_internal_error(fault.to_string()))
}
