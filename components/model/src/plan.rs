//! Parses and validates the plan files that operators submit: YAML with one or more workloads.

use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use crate::units;
use crate::workload::{Kind, Priority, Workload};
use crate::{Resources, TeamId, WorkloadId};

/// Largest number of tasks in one workload.
pub const MAX_INSTANCES: u32 = 20_000;
const MAX_NAME_LENGTH: usize = 64;
const MIB: u64 = 1024 * 1024;

/// Why a plan was rejected. Each message names the line or the workload and field.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The file is not YAML, or a field is unknown, missing or of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// A field has an invalid value.
    #[error("workload {workload}: {field}: {message}")]
    Value {
        /// Name of the workload, as the file has it.
        workload: WorkloadId,
        field: &'static str,
        /// What is wrong with the value.
        message: String,
    },
    /// The plan lists no workload.
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
    #[serde(default = "default_priority")]
    priority: Priority,
    #[serde(default = "default_instances")]
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

fn default_priority() -> Priority {
    Priority::Normal
}

fn default_instances() -> u32 {
    1
}

/// Parses a plan.
///
/// # Errors
/// The first error found, see [`PlanError`].
pub fn parse(text: &str) -> Result<Vec<Workload>, PlanError> {
    let file: File = serde_saphyr::from_str(text).map_err(|error| PlanError::Syntax(error.to_string()))?;
    if file.workloads.is_empty() {
        return Err(PlanError::Empty);
    }
    let mut workloads: Vec<Workload> = Vec::new();
    for entry in file.workloads {
        let workload = validate(entry)?;
        if workloads.iter().any(|earlier| earlier.name == workload.name) {
            return Err(invalid(&workload.name, "name", "appears twice in the plan"));
        }
        workloads.push(workload);
    }
    Ok(workloads)
}

/// Whether `name` is valid for a workload, team, host or worker.
pub fn is_valid_name(name: &str) -> bool {
    let first_valid = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    let all_valid = name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
    first_valid && all_valid && name.len() <= MAX_NAME_LENGTH
}

fn validate(entry: Entry) -> Result<Workload, PlanError> {
    let name = entry.name;
    for (field, text) in [("name", &name), ("team", &entry.team)] {
        if !is_valid_name(text) {
            return Err(invalid(&name, field, "use up to 64 letters, digits, - and _"));
        }
    }
    if entry.instances == 0 || entry.instances > MAX_INSTANCES {
        return Err(invalid(&name, "instances", format!("must be from 1 to {MAX_INSTANCES}")));
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
        return Err(invalid(name, "each.processors", "must be from 0.001 to 100000 cores"));
    }
    let bytes = units::parse_size(&each.memory).map_err(|error| invalid(name, "each.memory", error))?;
    let memory_mib = u32::try_from(bytes.div_ceil(MIB)).map_err(|_| invalid(name, "each.memory", "too large"))?;
    let cpu_milli = (each.processors * 1000.0).round() as u32;
    Ok(Resources { cpu_milli, memory_mib, accelerators: each.accelerators })
}

fn run_time(name: &WorkloadId, text: Option<&str>) -> Result<Option<Duration>, PlanError> {
    let Some(text) = text else { return Ok(None) };
    units::parse_duration(text).map(Some).map_err(|error| invalid(name, "run_time", error))
}

fn invalid(workload: &WorkloadId, field: &'static str, message: impl ToString) -> PlanError {
    PlanError::Value { workload: workload.clone(), field, message: message.to_string() }
}
