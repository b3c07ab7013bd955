//! Runs a whole cell on this machine, one process per component: a fake platform, two data centres with two entry
//! hosts each, and fake workers, which run the service instances as backend servers.
//!
//! `cargo run --release --example cell` submits `plan.yaml`, prints what runs where and why, sends requests through
//! two entry hosts, prints every response, and stops all processes. With `-- --stay` the cell keeps running, and the
//! example prints commands to try.

mod callers;
mod processes;
mod roles;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Result, ensure};
use processes::Cell;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let Some((first, rest)) = arguments.split_first()
        && first == "--role"
    {
        return roles::run(rest);
    }
    let stay = arguments.iter().any(|argument| argument == "--stay");
    let runtime = tokio::runtime::Runtime::new().expect("an async runtime");
    match runtime.block_on(run_demo(stay)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run_demo(stay: bool) -> Result<()> {
    let mut cell = Cell::start().await?;
    println!("cell is up: 1 platform, {} entry hosts, {} workers", cell.hosts.len(), cell.workers);

    let plan = include_str!("plan.yaml");
    let outcome = cell.execute("submit plan.yaml", Some(plan)).await?;
    println!("\n> submit plan.yaml\n{}", outcome.message);
    cell.wait_for_rows("show tasks where state = running and kind = service", 8).await?;
    cell.wait_for_rows("show tasks where state = finished", 10).await?;
    for statement in [
        "show workloads",
        "show tasks",
        "show workers",
        "show hosts",
        "why task planner.gt-1.0",
        "why workload corridor-plan",
    ] {
        cell.print(statement).await?;
    }

    callers::send_requests(&cell).await?;
    cell.print("show requests").await?;
    callers::compare_latency(&cell).await?;
    cell.print_resource_usage();

    if stay {
        cell.print_commands();
        tokio::signal::ctrl_c().await?;
    }
    let codes = cell.stop(Duration::from_secs(20)).await;
    println!("\nstopped: exit codes of the entry hosts {codes:?}");
    ensure!(codes.iter().all(|code| *code == Some(0)), "an entry host did not stop cleanly");
    Ok(())
}
