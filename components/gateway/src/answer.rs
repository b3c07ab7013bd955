//! Answers that walkhook gives itself. Each is final, and sent at once.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use request::Refusal;
use serde_json::json;
use web::Body;

/// Names what is known of a request that has no backend server's answer: `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "walkhook-outcome";

/// The caller's mistake; nothing was sent to a backend server.
pub(crate) fn bad(status: StatusCode, why: &str) -> Response<Body> {
    told(status, "not-run", why, None)
}

/// A refusal before anything was sent to a backend server.
pub(crate) fn refused(refusal: &Refusal) -> Response<Body> {
    told(StatusCode::SERVICE_UNAVAILABLE, "not-run", refusal.reason.message(), Some(refusal.retry_after))
}

/// Not sent to a backend server, for a reason other than admission.
pub(crate) fn not_run(why: &str, retry_after: Duration) -> Response<Body> {
    told(StatusCode::SERVICE_UNAVAILABLE, "not-run", why, Some(retry_after))
}

/// It may have run.
pub(crate) fn unknown(status: StatusCode, why: &str, retry_after: Option<Duration>) -> Response<Body> {
    told(status, "unknown", why, retry_after)
}

fn told(status: StatusCode, outcome: &'static str, why: &str, retry_after: Option<Duration>) -> Response<Body> {
    let retry_after_ms = retry_after.map(|after| after.as_millis() as u64);
    let mut answer = web::json(status, &json!({ "outcome": outcome, "why": why, "retry_after_ms": retry_after_ms }));
    let headers = answer.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    if let Some(after) = retry_after {
        // The header counts whole seconds; the body has the exact time.
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

/// What an answer says of itself, for the counts.
pub(crate) fn outcome(answer: &Response<Body>) -> &'static str {
    match answer.headers().get(OUTCOME).map(HeaderValue::as_bytes) {
        Some(b"not-run") => "not_run",
        Some(b"unknown") => "unknown",
        _ => "answered",
    }
}
