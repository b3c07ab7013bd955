//! Measures the resources that an entry host uses, at three values of each factor (hosts, workers, tasks, starts per
//! second), and fits a line to each: `cargo run --release --example capacity`. Takes about four minutes.
//!
//! Entry hosts are child processes with the default time spans. Workers and the platform are fakes inside this
//! process, so that their cost is not counted.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use support::{Cell, DEFAULT_TIMINGS, batch, wait_until};

const SETTLE_TIME: Duration = Duration::from_secs(4);
const MEASURING_TIME: Duration = Duration::from_secs(10);

/// Resources that one entry host uses, as the mean over the hosts of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Processor use, in thousandths of a core.
    cpu: f64,
    /// Resident memory, in MiB.
    memory: f64,
    /// Bytes per second between entry hosts, sent and received.
    control: f64,
    /// Calls to the platform per second, by all hosts together.
    platform: f64,
}

fn main() -> ExitCode {
    support::run_example(measure())
}

async fn measure() {
    println!("{:<26} {:>6} {:>9} {:>9} {:>11} {:>11}", "factor", "size", "cpu m", "MiB", "control B/s", "platform/s");
    let mut rows = Vec::new();
    for hosts in [2, 4, 8] {
        rows.push((hosts as f64, cost_when_idle(hosts, 1, 0).await));
    }
    print_fit("hosts of a data centre", &rows);
    rows.clear();
    for workers in [20, 60, 120] {
        rows.push((workers as f64 / 2.0, cost_when_idle(2, workers, 0).await));
    }
    print_fit("workers held by a host", &rows);
    rows.clear();
    for tasks in [0, 300, 900] {
        rows.push((tasks as f64 / 2.0, cost_when_idle(2, 120, tasks).await));
    }
    print_fit("tasks on a host's workers", &rows);
    rows.clear();
    for rate in [5, 15, 30] {
        rows.push((f64::from(rate) / 2.0, cost_of_starts(2, 40, rate).await));
    }
    print_fit("starts per second per host", &rows);
}

/// Measures the cost of a cell in which nothing changes.
async fn cost_when_idle(hosts: usize, workers: usize, tasks: u32) -> Cost {
    let cell = Cell::start_with_timings(&[("gt-1", hosts, workers)], DEFAULT_TIMINGS).await;
    if tasks > 0 {
        cell.submit(0, &batch("long", tasks, 1, "run 1h")).await;
        wait_until("all tasks run", || async { running(&cell) == tasks as usize }).await;
    }
    measure_cost(&cell).await
}

/// Measures the cost while `rate` tasks per second are accepted, started, finished and acknowledged.
async fn cost_of_starts(hosts: usize, workers: usize, rate: u32) -> Cost {
    let cell = Cell::start_with_timings(&[("gt-1", hosts, workers)], DEFAULT_TIMINGS).await;
    let submitting = async {
        let mut every = tokio::time::interval(Duration::from_secs(1));
        for round in 0.. {
            every.tick().await;
            cell.submit(0, &batch(&format!("job-{round}"), rate, 1, "run 500ms")).await;
        }
    };
    tokio::select! {
        () = submitting => unreachable!("submitting does not end"),
        cost = measure_cost(&cell) => cost,
    }
}

fn running(cell: &Cell) -> usize {
    cell.workers.iter().map(|(_, worker)| worker.running().len()).sum()
}

async fn measure_cost(cell: &Cell) -> Cost {
    tokio::time::sleep(SETTLE_TIME).await;
    let before = sample(cell).await;
    let started_at = Instant::now();
    tokio::time::sleep(MEASURING_TIME).await;
    let after = sample(cell).await;
    let seconds = started_at.elapsed().as_secs_f64();
    let hosts = cell.hosts.len() as f64;
    Cost {
        cpu: (after.cpu - before.cpu) / seconds / hosts,
        memory: after.memory / hosts,
        control: (after.control - before.control) / seconds / hosts,
        platform: (after.platform - before.platform) / seconds,
    }
}

async fn sample(cell: &Cell) -> Cost {
    let mut sum = Cost::default();
    for host in &cell.hosts {
        let (cpu, memory) = host.resource_usage();
        sum.cpu += cpu as f64;
        sum.memory += memory as f64 / 1024.0;
        sum.control += control_bytes(host.operators).await;
    }
    sum.platform = cell.platform.counts().calls.values().sum::<u64>() as f64;
    sum
}

async fn control_bytes(operators: std::net::SocketAddr) -> f64 {
    let text = support::get_text(&format!("http://{operators}/metrics")).await;
    let lines = text.lines().filter(|line| line.starts_with("walkhook_control_bytes_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Prints the rows and their least-squares line, with the largest residual.
fn print_fit(description: &str, rows: &[(f64, Cost)]) {
    for (size, cost) in rows {
        println!(
            "{description:<26} {size:>6} {:>9.2} {:>9.1} {:>11.0} {:>11.2}",
            cost.cpu, cost.memory, cost.control, cost.platform
        );
    }
    let fit_line = |value: fn(&Cost) -> f64| {
        let count = rows.len() as f64;
        let mean_size = rows.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean = rows.iter().map(|(_, cost)| value(cost)).sum::<f64>() / count;
        let cross_products: f64 = rows.iter().map(|(size, cost)| (size - mean_size) * (value(cost) - mean)).sum();
        let squares: f64 = rows.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let slope = cross_products / squares;
        let intercept = mean - slope * mean_size;
        let residual =
            rows.iter().map(|(size, cost)| (value(cost) - intercept - slope * size).abs()).fold(0.0, f64::max);
        (intercept, slope, residual)
    };
    let fitted = [
        ("cpu m", fit_line(|cost| cost.cpu)),
        ("MiB", fit_line(|cost| cost.memory)),
        ("control B/s", fit_line(|cost| cost.control)),
        ("platform/s", fit_line(|cost| cost.platform)),
    ];
    for (name, (intercept, slope, residual)) in fitted {
        println!("  {name:<12} = {intercept:>9.3} + {slope:>9.4} per unit   (residual {residual:.3})");
    }
    println!();
}
