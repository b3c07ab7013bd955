//! Shows the progress of submitted work.

use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::time::Duration;

use anyhow::{Result, bail};
use api::{Outcome, Status};
use model::workload::{Kind, Workload};

use crate::client::Client;

const LOOK: Duration = Duration::from_millis(300);

/// Waits until every task of the plan's workloads runs (services) or has finished (other work).
pub(crate) async fn until_settled(client: &Client, plan: &str) -> Result<()> {
    for workload in model::plan::parse(plan)? {
        wait_for(client, &workload).await?;
    }
    Ok(())
}

async fn wait_for(client: &Client, workload: &Workload) -> Result<()> {
    let goal = if workload.kind == Kind::Service { "running" } else { "finished" };
    let mut last = String::new();
    loop {
        let outcome = client.execute("show tasks", None).await;
        if outcome.status != Status::Done {
            bail!("can't follow {}: {}", workload.name, outcome.message);
        }
        let counts = counts(&outcome, &workload.name);
        let line = shown(&workload.name, &counts);
        if line != last {
            progress(&line);
            last = line;
        }
        if counts.get(goal).copied().unwrap_or(0) >= workload.instances {
            progress_end();
            return Ok(());
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Tasks of a workload by state.
fn counts(outcome: &Outcome, workload: &str) -> BTreeMap<String, u32> {
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

fn shown(workload: &str, counts: &BTreeMap<String, u32>) -> String {
    let parts: Vec<String> = counts.iter().map(|(state, count)| format!("{count} {state}")).collect();
    format!("{workload}: {}", parts.join(", "))
}

/// On a terminal one line that changes, else a line each time.
fn progress(line: &str) {
    let mut out = std::io::stderr();
    if out.is_terminal() {
        let _ = write!(out, "\r\x1b[K{line}");
        let _ = out.flush();
    } else {
        let _ = writeln!(out, "{line}");
    }
}

fn progress_end() {
    if std::io::stderr().is_terminal() {
        eprintln!();
    }
}
