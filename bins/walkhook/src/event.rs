//! Events in the log files of hosts.

use std::path::Path;
use std::time::UNIX_EPOCH;

use anyhow::{Context, Result};
use serde_json::Value;

/// Numbers of the log events that are read; see docs/EVENTS.md.
pub(crate) const WORKER_LEASES_EXPIRED: u64 = 405;
pub(crate) const WORKER_GONE: u64 = 410;
pub(crate) const RUN_LOST: u64 = 412;
pub(crate) const JOB_ACCEPTED: u64 = 610;
pub(crate) const JOB_REFUSED: u64 = 611;
pub(crate) const JOB_ENDED: u64 = 612;
pub(crate) const RUN_STARTED: u64 = 613;
pub(crate) const RUN_ENDED: u64 = 615;
pub(crate) const ADVICE: u64 = 616;

/// Reads all events of the files, one file after the other.
pub(crate) fn read(files: &[String], mut handle: impl FnMut(&Value)) -> Result<()> {
    for file in files {
        let text = std::fs::read_to_string(Path::new(file)).with_context(|| format!("{file}: can't be read"))?;
        text.lines().filter_map(parse).for_each(|event| handle(&event));
    }
    Ok(())
}

/// Parses the event of a log line. Returns `None` for a line without JSON, because logs may also contain lines of other
/// programs.
pub(crate) fn parse(line: &str) -> Option<Value> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

/// A text field; empty if it is missing.
pub(crate) fn text<'a>(event: &'a Value, name: &str) -> &'a str {
    event[name].as_str().unwrap_or_default()
}

/// Id of the job that an event is about; empty if it is about none.
pub(crate) fn job_id(event: &Value) -> &str {
    let names = ["task", "unit", "job"].map(|name| text(event, name));
    names.into_iter().find(|name| !name.is_empty()).map(job_of).unwrap_or_default()
}

/// Id of the job that a task or unit belongs to.
pub(crate) fn job_of(name: &str) -> &str {
    name.split('.').next().unwrap_or_default()
}

/// Time of an event in milliseconds since 1970.
pub(crate) fn unix_millis(event: &Value) -> Option<f64> {
    let time = humantime::parse_rfc3339(text(event, "ts")).ok()?;
    Some(time.duration_since(UNIX_EPOCH).ok()?.as_secs_f64() * 1000.0)
}
