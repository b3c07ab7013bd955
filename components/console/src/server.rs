//! The HTTP server and its endpoints.

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

/// Maximum time that an operator's request waits for the leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest request body. The largest job that is accepted takes about 10 KB.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// State that the endpoints share.
pub struct Console {
    pub host: Arc<entry::Host>,
    /// Metrics of the host.
    pub registry: Registry,
}

type Context = Arc<Console>;

/// Handle of a running server.
pub type Server = HttpServer<Context>;

/// Starts the server. It runs until the returned handle is closed.
///
/// # Errors
///
/// Fails if the endpoints can't be registered or the address can't be bound.
pub fn start(address: SocketAddr, console: Context, log: &Logger) -> Result<Server, String> {
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: MAX_BODY_BYTES,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(description()?, console, log.clone()).config(config).start().map_err(|error| error.to_string())
}

/// Returns all endpoints, for the server and for an OpenAPI document.
///
/// # Errors
///
/// Fails if dropshot rejects an endpoint.
pub fn description() -> Result<ApiDescription<Context>, String> {
    let mut api = ApiDescription::new();
    let to_message = |error: dropshot::ApiDescriptionRegisterError| error.to_string();
    api.register(explain).map_err(to_message)?;
    api.register(submit).map_err(to_message)?;
    api.register(cancel).map_err(to_message)?;
    api.register(queues).map_err(to_message)?;
    api.register(workspaces).map_err(to_message)?;
    api.register(host).map_err(to_message)?;
    api.register(metrics).map_err(to_message)?;
    Ok(api)
}

#[derive(Debug, Deserialize, JsonSchema)]
struct JobPath {
    /// 16 hexadecimal digits.
    id: String,
}

impl JobPath {
    fn job_id(&self) -> Result<work::JobId, HttpError> {
        let invalid = || HttpError::for_bad_request(None, format!("`{}` is not 16 hexadecimal digits", self.id));
        work::parse_job_id(&self.id).ok_or_else(invalid)
    }
}

async fn call_leader(console: &Console, call: Call) -> Answer {
    console.host.ask(call, Instant::now() + LEADER_TIMEOUT).await
}

fn no_leader() -> HttpError {
    HttpError::for_unavail(None, "no leader responds; nothing was done".to_owned())
}

fn unknown_outcome() -> HttpError {
    let message = "the outcome is not known".to_owned();
    HttpError::for_client_error(None, dropshot::ClientErrorStatusCode::CONFLICT, message)
}

fn not_found(message: String) -> HttpError {
    HttpError::for_client_error(None, dropshot::ClientErrorStatusCode::NOT_FOUND, message)
}

fn no_such_job() -> HttpError {
    not_found("no such job".to_owned())
}

/// Returns the state of a job and the reasons for it.
#[endpoint { method = GET, path = "/jobs/{id}" }]
async fn explain(context: RequestContext<Context>, path: Path<JobPath>) -> Result<HttpResponseOk<Job>, HttpError> {
    let path = path.into_inner();
    let id = path.job_id()?;
    match call_leader(context.context(), Call::Explain { id }).await {
        Answer::Explanation(Some(explanation)) => Ok(HttpResponseOk(Job { id: path.id, explanation })),
        Answer::Explanation(None) => Err(no_such_job()),
        _ => Err(no_leader()),
    }
}

/// Submits a job. Submitting an id again doesn't create another job.
#[endpoint { method = PUT, path = "/jobs/{id}" }]
async fn submit(
    context: RequestContext<Context>,
    path: Path<JobPath>,
    body: TypedBody<Submission>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let id = path.into_inner().job_id()?;
    let submission = body.into_inner();
    let job = submission.to_job();
    job.check().map_err(|error| HttpError::for_bad_request(None, error.to_string()))?;
    let console = context.context();
    if console.host.config().queue(&submission.queue).is_none() {
        return Err(not_found(format!("there is no queue `{}`", submission.queue)));
    }
    let call = Call::Submit {
        caller: Caller::Operator,
        queue: submission.queue,
        id,
        job: Box::new(job),
        wait: LEADER_TIMEOUT,
    };
    match call_leader(console, call).await {
        Answer::Accepted => Ok(HttpResponseUpdatedNoContent()),
        Answer::Refused(retry_after) => Err(HttpError::for_unavail(
            None,
            format!("job not accepted, and it never runs; retry after {} s", retry_after.as_secs().max(1)),
        )),
        Answer::TooLarge { size, limit } => {
            Err(HttpError::for_bad_request(None, format!("the job takes {size} bytes, more than {limit}")))
        }
        Answer::NotLeader => Err(no_leader()),
        _ => Err(unknown_outcome()),
    }
}

/// Cancels a job.
#[endpoint { method = DELETE, path = "/jobs/{id}" }]
async fn cancel(context: RequestContext<Context>, path: Path<JobPath>) -> Result<HttpResponseDeleted, HttpError> {
    let id = path.into_inner().job_id()?;
    match call_leader(context.context(), Call::Cancel { caller: Caller::Operator, id, wait: LEADER_TIMEOUT }).await {
        Answer::Cancelled(true) => Ok(HttpResponseDeleted()),
        Answer::Cancelled(false) => Err(no_such_job()),
        Answer::NotLeader => Err(no_leader()),
        _ => Err(unknown_outcome()),
    }
}

/// Lists the queues of the configuration in force.
#[endpoint { method = GET, path = "/queues" }]
async fn queues(context: RequestContext<Context>) -> Result<HttpResponseOk<Vec<Queue>>, HttpError> {
    let console = context.context();
    let mut queue_list = Vec::new();
    for queue in &console.host.config().queues {
        let waiting =
            match call_leader(console, Call::Waiting { caller: Caller::Operator, queue: queue.name.clone() }).await {
                Answer::Waiting(waiting) => Some(waiting),
                _ => None,
            };
        let (name, pool) = (queue.name.clone(), queue.pool.clone());
        queue_list.push(Queue { name, pool, priority: queue.priority, waiting });
    }
    Ok(HttpResponseOk(queue_list))
}

/// Lists all workspaces with their limits, usage and waiting work. Keys are only counted, never shown.
#[endpoint { method = GET, path = "/workspaces" }]
async fn workspaces(context: RequestContext<Context>) -> Result<HttpResponseOk<Vec<Workspace>>, HttpError> {
    let console = context.context();
    let Answer::Workspaces(standing) = call_leader(console, Call::Workspaces).await else { return Err(no_leader()) };
    let config = console.host.config();
    let shown = standing.into_iter().map(|standing| Workspace::new(standing, &config));
    Ok(HttpResponseOk(shown.collect()))
}

/// Returns the configuration version of this host and the leader that it knows.
#[endpoint { method = GET, path = "/host" }]
async fn host(context: RequestContext<Context>) -> Result<HttpResponseOk<Host>, HttpError> {
    let host = &context.context().host;
    let (leader, term) = match host.role() {
        Role::NoLeader => (None, None),
        Role::Leading(leadership) => (Some(host.settings.host.clone()), Some(leadership.term)),
        Role::Following(leader, _) => (Some(leader.host), Some(leader.term)),
    };
    let (name, config) = (host.settings.host.clone(), host.config().version);
    Ok(HttpResponseOk(Host { host: name, config, leader, term }))
}

/// Returns the metrics in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let text = ::metrics::encode(&context.context().registry);
    Response::builder()
        .status(StatusCode::OK)
        .header(http::header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}
