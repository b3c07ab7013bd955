//! Shows the progress of submitted workloads.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::time::Duration;

use anyhow::{Result, bail};
use api::{Outcome, Status};
use model::workload::{Kind, Workload};

use crate::client::Client;

const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Waits until every task of the plan's workloads runs (services) or has finished (other work).
pub(crate) async fn until_settled(client: &Client, plan: &str) -> Result<()> {
    for workload in model::plan::parse(plan)? {
        wait_for(client, &workload).await?;
    }
    Ok(())
}

async fn wait_for(client: &Client, workload: &Workload) -> Result<()> {
    let target_state = if workload.kind == Kind::Service { "running" } else { "finished" };
    let mut last_line = String::new();
    loop {
        let outcome = client.execute("show tasks", None).await;
        if outcome.status != Status::Done {
            bail!("can't show the progress of {}: {}", workload.name, outcome.message);
        }
        let counts = count_by_state(&outcome, &workload.name);
        let line = status_line(&workload.name, &counts);
        if line != last_line {
            print_progress(&line);
            last_line = line;
        }
        if counts.get(target_state).copied().unwrap_or(0) >= workload.instances {
            end_progress();
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Counts the tasks of a workload by state.
fn count_by_state(outcome: &Outcome, workload: &str) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for row in outcome.table.iter().flat_map(|table| &table.rows) {
        let [task, _, _, state, ..] = row.as_slice() else { continue };
        let name = task.split('.').next().unwrap_or_default();
        if name == workload {
            *counts.entry(state.clone()).or_default() += 1;
        }
    }
    counts
}

fn status_line(workload: &str, counts: &BTreeMap<String, u32>) -> String {
    let parts: Vec<String> = counts.iter().map(|(state, count)| format!("{count} {state}")).collect();
    format!("{workload}: {}", parts.join(", "))
}

/// Prints the progress: on a terminal it overwrites the line, otherwise it adds a line.
fn print_progress(line: &str) {
    let mut out = std::io::stderr();
    if out.is_terminal() {
        let _ = write!(out, "\r\x1b[K{line}");
        let _ = out.flush();
    } else {
        let _ = writeln!(out, "{line}");
    }
}

fn end_progress() {
    if std::io::stderr().is_terminal() {
        eprintln!();
    }
}
