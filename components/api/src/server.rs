//! The HTTP server and its endpoints.

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

/// Largest request body: fits a plan of many workloads.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const BEARER_PREFIX: &str = "Bearer ";

/// Implementation of the API by the entry host.
#[async_trait]
pub trait OperatorHandler: Send + Sync + 'static {
    /// Executes a statement.
    async fn execute(&self, command: Command) -> Outcome;
    /// Returns the outcome of an earlier command.
    async fn outcome(&self, command: Uuid) -> Outcome;
    /// Returns the state of this host.
    fn health(&self) -> Health;
    /// Returns the metrics in the text format of Prometheus.
    fn metrics(&self) -> String;
    /// Returns the key that operators must present.
    fn shared_key(&self) -> &str;
}

type Context = Arc<dyn OperatorHandler>;

/// Starts the server. Closing the returned handle lets requests in flight finish.
///
/// # Errors
///
/// Fails if the endpoints can't be registered or the address can't be bound.
pub fn start(address: SocketAddr, handler: Context, log: &Logger) -> Result<HttpServer<Context>, String> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        // A command runs to its end even if the client disconnects, so that it is never carried out in part.
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let api = description()?;
    ServerBuilder::new(api, handler, log.clone()).config(config).start().map_err(|error| error.to_string())
}

/// Returns all endpoints, for the server and for the OpenAPI document.
///
/// # Errors
///
/// Fails if dropshot rejects an endpoint.
pub fn description() -> Result<ApiDescription<Context>, String> {
    let mut api = ApiDescription::new();
    let to_message = |error: dropshot::ApiDescriptionRegisterError| error.to_string();
    api.register(execute).map_err(to_message)?;
    api.register(outcome).map_err(to_message)?;
    api.register(health).map_err(to_message)?;
    api.register(metrics).map_err(to_message)?;
    Ok(api)
}

/// Checks the bearer token. Compares `blake3` hashes because their comparison takes constant time and so reveals nothing
/// about the key.
fn check_authorization(request: &RequestContext<Context>) -> Result<(), HttpError> {
    let authorization = request.request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let presented = authorization.and_then(|value| value.strip_prefix(BEARER_PREFIX)).unwrap_or_default();
    let expected = request.context().shared_key();
    if blake3::hash(presented.as_bytes()) == blake3::hash(expected.as_bytes()) {
        return Ok(());
    }
    let message = "the cell's shared key is required as a bearer token".to_owned();
    Err(HttpError::for_client_error(None, dropshot::ClientErrorStatusCode::UNAUTHORIZED, message))
}

/// Execute one statement
#[endpoint { method = POST, path = "/v1/statements" }]
async fn execute(
    request: RequestContext<Context>,
    body: TypedBody<Command>,
) -> Result<HttpResponseOk<Outcome>, HttpError> {
    check_authorization(&request)?;
    Ok(HttpResponseOk(request.context().execute(body.into_inner()).await))
}

/// Path parameters of a command.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
struct CommandPath {
    /// Id of the command.
    command: Uuid,
}

/// Get the outcome of an earlier command
#[endpoint { method = GET, path = "/v1/commands/{command}" }]
async fn outcome(
    request: RequestContext<Context>,
    path: Path<CommandPath>,
) -> Result<HttpResponseOk<Outcome>, HttpError> {
    check_authorization(&request)?;
    Ok(HttpResponseOk(request.context().outcome(path.into_inner().command).await))
}

/// Get the state of this entry host; needs no key
#[endpoint { method = GET, path = "/v1/health" }]
async fn health(request: RequestContext<Context>) -> Result<HttpResponseOk<Health>, HttpError> {
    Ok(HttpResponseOk(request.context().health()))
}

/// Get the metrics in the text format of Prometheus; needs no key
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(request: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(Body::from(request.context().metrics()))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
