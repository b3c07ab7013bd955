//! Responses that walkhook generates itself. They are final and sent without delay.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use request::Refusal;
use serde_json::json;
use web::Body;

/// Outcome of a request without a response from a backend server: `not-run` or `unknown`.
pub(crate) const OUTCOME_HEADER: &str = "walkhook-outcome";

/// An invalid request; nothing was sent to a backend server.
pub(crate) fn rejected(status: StatusCode, reason: &str) -> Response<Body> {
    respond(status, "not-run", reason, None)
}

/// A refusal before anything was sent to a backend server.
pub(crate) fn refused(refusal: &Refusal) -> Response<Body> {
    respond(StatusCode::SERVICE_UNAVAILABLE, "not-run", refusal.reason.message(), Some(refusal.retry_after))
}

/// A request that no backend server can have received, for a reason other than admission.
pub(crate) fn not_run(reason: &str, retry_after: Duration) -> Response<Body> {
    respond(StatusCode::SERVICE_UNAVAILABLE, "not-run", reason, Some(retry_after))
}

/// A request that may have run.
pub(crate) fn unknown(status: StatusCode, reason: &str, retry_after: Option<Duration>) -> Response<Body> {
    respond(status, "unknown", reason, retry_after)
}

fn respond(status: StatusCode, outcome: &'static str, reason: &str, retry_after: Option<Duration>) -> Response<Body> {
    let retry_after_ms = retry_after.map(|after| after.as_millis() as u64);
    let mut response =
        web::json(status, &json!({ "outcome": outcome, "why": reason, "retry_after_ms": retry_after_ms }));
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    if let Some(after) = retry_after {
        // The header counts whole seconds; the body has the exact time.
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// The outcome of a response, as counted in the metrics.
pub(crate) fn outcome(response: &Response<Body>) -> &'static str {
    match response.headers().get(OUTCOME_HEADER).map(HeaderValue::as_bytes) {
        Some(b"not-run") => "not_run",
        Some(b"unknown") => "unknown",
        _ => "answered",
    }
}
