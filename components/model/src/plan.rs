//! The plan files that operators submit: YAML, one or more workloads.

use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::units;
use crate::workload::{Kind, Priority, Workload};
use crate::{Resources, TeamId, WorkloadId};

/// Most tasks that one workload may have.
pub const MAX_INSTANCES: u32 = 20_000;
const MAX_NAME: usize = 64;
const MIB: u64 = 1024 * 1024;

/// Why a plan was refused; each text names the place.
#[derive(Debug, Error)]
pub enum PlanError {
    /// Not YAML, or a field that is unknown, missing or of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// A value that can't be accepted.
    #[error("workload {workload}: {field}: {message}")]
    Value {
        /// Name of the workload, or its position when it has none.
        workload: WorkloadId,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        message: String,
    },
    /// Nothing to submit.
    #[error("workloads: the plan has none")]
    Empty,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    workloads: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    name: WorkloadId,
    team: TeamId,
    kind: Kind,
    #[serde(default = "normal")]
    priority: Priority,
    #[serde(default = "one")]
    instances: u32,
    each: Each,
    run: String,
    run_time: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Each {
    processors: f64,
    memory: String,
    #[serde(default)]
    accelerators: u32,
}

fn normal() -> Priority {
    Priority::Normal
}

fn one() -> u32 {
    1
}

/// Reads a plan; the first fault found is returned, naming line or workload and field.
pub fn parse(text: &str) -> Result<Vec<Workload>, PlanError> {
    let file: File = serde_saphyr::from_str(text).map_err(|fault| PlanError::Syntax(fault.to_string()))?;
    if file.workloads.is_empty() {
        return Err(PlanError::Empty);
    }
    let mut workloads: Vec<Workload> = Vec::new();
    for entry in file.workloads {
        let workload = check(entry)?;
        if workloads.iter().any(|known| known.name == workload.name) {
            return Err(value(&workload.name, "name", "appears twice in the plan"));
        }
        workloads.push(workload);
    }
    Ok(workloads)
}

/// Whether `name` can name a workload, team, host or worker.
pub fn is_valid_name(name: &str) -> bool {
    let start = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    let rest = name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
    start && rest && name.len() <= MAX_NAME
}

fn check(entry: Entry) -> Result<Workload, PlanError> {
    let name = entry.name;
    for (field, text) in [("name", &name), ("team", &entry.team)] {
        if !is_valid_name(text) {
            return Err(value(&name, field, "use up to 64 letters, digits, - and _"));
        }
    }
    if entry.instances == 0 || entry.instances > MAX_INSTANCES {
        return Err(value(&name, "instances", format!("must be from 1 to {MAX_INSTANCES}")));
    }
    let each = resources(&name, &entry.each)?;
    let run_time = run_time(&name, entry.run_time.as_deref())?;
    Ok(Workload {
        team: entry.team,
        kind: entry.kind,
        priority: entry.priority,
        instances: entry.instances,
        each,
        run: entry.run,
        run_time,
        name,
    })
}

fn resources(name: &WorkloadId, each: &Each) -> Result<Resources, PlanError> {
    if !(0.001..=100_000.0).contains(&each.processors) {
        return Err(value(name, "each.processors", "must be from 0.001 to 100000 cores"));
    }
    let bytes = units::parse_size(&each.memory).map_err(|fault| value(name, "each.memory", fault))?;
    let memory_mib = u32::try_from(bytes.div_ceil(MIB)).map_err(|_| value(name, "each.memory", "too large"))?;
    let cpu_milli = (each.processors * 1000.0).round() as u32;
    Ok(Resources { cpu_milli, memory_mib, accelerators: each.accelerators })
}

fn run_time(name: &WorkloadId, text: Option<&str>) -> Result<Option<Duration>, PlanError> {
    let Some(text) = text else { return Ok(None) };
    units::parse_duration(text).map(Some).map_err(|fault| value(name, "run_time", fault))
}

fn value(workload: &WorkloadId, field: &'static str, message: impl ToString) -> PlanError {
    PlanError::Value { workload: workload.clone(), field, message: message.to_string() }
}
