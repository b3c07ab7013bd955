//! The HTTP server of the interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpResponseDeleted, HttpResponseOk, HttpResponseUpdatedNoContent,
    HttpServer, Path, RequestContext, ServerBuilder, TypedBody, endpoint,
};
use entry::{Answer, Call, Caller, Role};
use http::{Response, StatusCode};
use prometheus_client::registry::Registry;
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Logger;

use crate::types::{Host, Job, Queue, Submission, Workspace};

/// How long an operator's request may wait for the leader.
const PATIENCE: Duration = Duration::from_secs(3);
/// Largest body, in bytes: the largest job that is taken has some 10 KB.
const MAX_BODY: usize = 256 * 1024;

/// What stands behind the interface.
pub struct Console {
    /// The host.
    pub host: Arc<entry::Host>,
    /// Its metrics.
    pub registry: Registry,
}

type Context = Arc<Console>;

/// A server that runs until it is closed.
pub type Server = HttpServer<Context>;

/// Starts the server. It ends when the returned handle is closed.
pub fn start(address: SocketAddr, console: Context, log: &Logger) -> Result<Server, String> {
    let config =
        ConfigDropshot { bind_address: address, default_request_body_max_bytes: MAX_BODY, ..ConfigDropshot::default() };
    ServerBuilder::new(description()?, console, log.clone()).config(config).start().map_err(|fault| fault.to_string())
}

/// The interface, for the server and for its OpenAPI document.
pub fn description() -> Result<ApiDescription<Context>, String> {
    let mut api = ApiDescription::new();
    let fault = |fault: dropshot::ApiDescriptionRegisterError| fault.to_string();
    api.register(explain).map_err(fault)?;
    api.register(submit).map_err(fault)?;
    api.register(cancel).map_err(fault)?;
    api.register(queues).map_err(fault)?;
    api.register(workspaces).map_err(fault)?;
    api.register(host).map_err(fault)?;
    api.register(metrics).map_err(fault)?;
    Ok(api)
}

#[derive(Debug, Deserialize, JsonSchema)]
struct Id {
    /// 16 hexadecimal digits.
    id: String,
}

impl Id {
    fn job(&self) -> Result<work::JobId, HttpError> {
        let fault = || HttpError::for_bad_request(None, format!("`{}` is not 16 hexadecimal digits", self.id));
        work::parse_job_id(&self.id).ok_or_else(fault)
    }
}

async fn ask(console: &Console, call: Call) -> Answer {
    console.host.ask(call, Instant::now() + PATIENCE).await
}

fn no_leader() -> HttpError {
    HttpError::for_unavail(None, "no leader answers; nothing was done".to_owned())
}

fn unknown() -> HttpError {
    let text = "what became of it is not known".to_owned();
    HttpError::for_client_error(None, dropshot::ClientErrorStatusCode::CONFLICT, text)
}

fn not_found(what: String) -> HttpError {
    HttpError::for_client_error(None, dropshot::ClientErrorStatusCode::NOT_FOUND, what)
}

fn no_such_job() -> HttpError {
    not_found("no such job".to_owned())
}

/// How a job stands, and why.
#[endpoint { method = GET, path = "/jobs/{id}" }]
async fn explain(context: RequestContext<Context>, path: Path<Id>) -> Result<HttpResponseOk<Job>, HttpError> {
    let path = path.into_inner();
    let id = path.job()?;
    match ask(context.context(), Call::Explain { id }).await {
        Answer::Explanation(Some(explanation)) => Ok(HttpResponseOk(Job { id: path.id, explanation })),
        Answer::Explanation(None) => Err(no_such_job()),
        _ => Err(no_leader()),
    }
}

/// Submits a job. The same id again stays the same job.
#[endpoint { method = PUT, path = "/jobs/{id}" }]
async fn submit(
    context: RequestContext<Context>,
    path: Path<Id>,
    body: TypedBody<Submission>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let id = path.into_inner().job()?;
    let submission = body.into_inner();
    let job = submission.job();
    job.check().map_err(|fault| HttpError::for_bad_request(None, fault.to_string()))?;
    let console = context.context();
    if console.host.config().queue(&submission.queue).is_none() {
        return Err(not_found(format!("there is no queue `{}`", submission.queue)));
    }
    let call =
        Call::Submit { caller: Caller::Operator, queue: submission.queue, id, job: Box::new(job), wait: PATIENCE };
    match ask(console, call).await {
        Answer::Accepted => Ok(HttpResponseUpdatedNoContent()),
        Answer::Refused(after) => Err(HttpError::for_unavail(
            None,
            format!("not accepted, and it never runs; try again after {} s", after.as_secs().max(1)),
        )),
        Answer::NotLeader => Err(no_leader()),
        _ => Err(unknown()),
    }
}

/// Cancels a job.
#[endpoint { method = DELETE, path = "/jobs/{id}" }]
async fn cancel(context: RequestContext<Context>, path: Path<Id>) -> Result<HttpResponseDeleted, HttpError> {
    let id = path.into_inner().job()?;
    match ask(context.context(), Call::Cancel { caller: Caller::Operator, id, wait: PATIENCE }).await {
        Answer::Cancelled(true) => Ok(HttpResponseDeleted()),
        Answer::Cancelled(false) => Err(no_such_job()),
        Answer::NotLeader => Err(no_leader()),
        _ => Err(unknown()),
    }
}

/// The queues of the configuration in force.
#[endpoint { method = GET, path = "/queues" }]
async fn queues(context: RequestContext<Context>) -> Result<HttpResponseOk<Vec<Queue>>, HttpError> {
    let console = context.context();
    let mut found = Vec::new();
    for queue in &console.host.config().queues {
        let waiting = match ask(console, Call::Waiting { caller: Caller::Operator, queue: queue.name.clone() }).await {
            Answer::Waiting(waiting) => Some(waiting),
            _ => None,
        };
        let (name, pool) = (queue.name.clone(), queue.pool.clone());
        found.push(Queue { name, pool, priority: queue.priority, waiting });
    }
    Ok(HttpResponseOk(found))
}

/// All workspaces: their limits, what they use of them, and what waits. Keys are counted, never shown.
#[endpoint { method = GET, path = "/workspaces" }]
async fn workspaces(context: RequestContext<Context>) -> Result<HttpResponseOk<Vec<Workspace>>, HttpError> {
    let console = context.context();
    let Answer::Workspaces(standing) = ask(console, Call::Workspaces).await else { return Err(no_leader()) };
    let config = console.host.config();
    let shown = standing.into_iter().map(|standing| Workspace::new(standing, &config));
    Ok(HttpResponseOk(shown.collect()))
}

/// The host that is asked: its configuration, and who leads.
#[endpoint { method = GET, path = "/host" }]
async fn host(context: RequestContext<Context>) -> Result<HttpResponseOk<Host>, HttpError> {
    let host = &context.context().host;
    let (leader, term) = match host.role() {
        Role::NoLeader => (None, None),
        Role::Leading(reign) => (Some(host.settings.host.clone()), Some(reign.term)),
        Role::Following(leader, _) => (Some(leader.host), Some(leader.term)),
    };
    let (name, config) = (host.settings.host.clone(), host.config().version);
    Ok(HttpResponseOk(Host { host: name, config, leader, term }))
}

/// The metrics, in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let text = ::metrics::encode(&context.context().registry);
    Response::builder()
        .status(StatusCode::OK)
        .header(http::header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(Body::from(text))
        .map_err(|fault| HttpError::for_internal_error(fault.to_string()))
}
