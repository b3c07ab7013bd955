//! Measures placement decisions, each including the commit in the ledger of the chosen worker:
//! `cargo run --release -p ledger --example decisions`.
//!
//! The first table shows placements per second on one core and the time per placement, for 50 to 17,000 workers. The
//! second shows how full the workers are at the first refusal, for workloads similar to those of two users. It
//! compares the placement policies with first fit in the same run and with the fractional upper bound.

use std::time::{Duration, Instant};

use ledger::{CommitResult, LeaseLimits, Ledger};
use model::Resources;
use model::task::{Attempt, Id};
use model::workload::Kind;
use place::{Choice, Demand, Policy, Siblings, Worker, WorkerTable, choose};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wire::StartOrder;
use worker::Report;

const CAPACITY: Resources = Resources { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0 };
const LIMITS: LeaseLimits = LeaseLimits { lease: Duration::from_secs(15), margin: Duration::from_secs(2) };
const SEED: u64 = 7;

fn worker_table(workers: usize, racks: usize) -> WorkerTable {
    WorkerTable::new((0..workers).map(|at| Worker {
        id: format!("w-{at}"),
        rack: format!("r-{}", at % racks.max(1)),
        capacity: CAPACITY,
        free: CAPACITY,
        open: true,
    }))
}

fn ledgers(table: &WorkerTable, now: Instant) -> Vec<Ledger> {
    let report = || Report { incarnation: 1, stamp_ms: 0, capacity: CAPACITY, leaving: false, tasks: Vec::new() };
    (0..table.len()).map(|at| Ledger::open(table.id(at).clone(), 1, report(), LIMITS, now)).collect()
}

fn order(table: &WorkerTable, at: usize, number: u32, each: Resources) -> StartOrder {
    let task = Id { workload: "bench".to_owned(), life: 1, data_centre: "gt-1".to_owned(), index: number };
    StartOrder {
        worker: table.id(at).clone(),
        task,
        attempt: Attempt { epoch: 1, number },
        resources: each,
        run: "run".to_owned(),
        service: false,
        patient: true,
    }
}

fn random_size(random: &mut StdRng) -> Resources {
    Resources {
        cpu_milli: random.random_range(1..=20) * 100,
        memory_mib: random.random_range(1..=32) * 256,
        accelerators: 0,
    }
}

/// Starts `running` tasks, then measures `count` decisions with their commits. After each decision the oldest task
/// ends, so that the workers stay equally full.
fn measure_decisions(workers: usize, running: usize, count: usize) {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(SEED);
    let mut table = worker_table(workers, workers / 8);
    let mut ledgers = ledgers(&table, now);
    let mut live = std::collections::VecDeque::new();
    let mut number = 0;
    let mut times = Vec::with_capacity(count);
    for round in 0..running + count {
        let each = random_size(&mut random);
        let demand = Demand { each, kind: Kind::Batch, policy: Policy::BestFit };
        let started = Instant::now();
        if let Choice::Placed(at) = choose(&table, &demand, &Siblings::default()) {
            number += 1;
            let order = order(&table, at, number, each);
            table.allocate(at, &each);
            assert_eq!(ledgers[at].commit(&order, now), CommitResult::Accepted);
            live.push_back((at, order));
        }
        if round >= running {
            times.push(started.elapsed());
        }
        if live.len() > running {
            let (at, order) = live.pop_front().expect("a task is running");
            ledgers[at].stop(&order.task, order.attempt, now);
            ledgers[at].acknowledge(&order.task, order.attempt);
            ledgers[at].forget(&order.task, order.attempt);
            table.release(at, &order.resources);
        }
    }
    times.sort();
    let total: Duration = times.iter().sum();
    let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e6;
    println!(
        "{workers:>7} {running:>8} {:>12.0} {:>9.1} {:>9.1} {:>9.1}",
        count as f64 / total.as_secs_f64(),
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    );
}

/// Prints the share of processors committed at the first refusal for each policy, and the upper bound.
fn measure_packing(name: &str, shapes: &[(Kind, u32, u32)], workers: usize, racks: usize) {
    print!("{name:<34}");
    for policy in [Policy::FirstFit, Policy::BestFit, Policy::Aligned] {
        let shares: Vec<f64> = (0..20).map(|seed| fill_workers(shapes, workers, racks, policy, seed)).collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        print!(" {:>8.1}%", mean * 100.0);
    }
    let bounds: Vec<f64> = (0..20).map(|seed| upper_bound(shapes, workers, seed)).collect();
    println!(" {:>8.1}%", bounds.iter().sum::<f64>() / bounds.len() as f64 * 100.0);
}

fn random_demand(shapes: &[(Kind, u32, u32)], random: &mut StdRng) -> Demand {
    let (kind, cpu_milli, memory_mib) = shapes[random.random_range(0..shapes.len())];
    Demand { each: Resources { cpu_milli, memory_mib, accelerators: 0 }, kind, policy: Policy::BestFit }
}

fn fill_workers(shapes: &[(Kind, u32, u32)], workers: usize, racks: usize, policy: Policy, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut table = worker_table(workers, racks);
    let mut siblings = Siblings::default();
    let mut used = 0u64;
    loop {
        let demand = Demand { policy, ..random_demand(shapes, &mut random) };
        let Choice::Placed(at) = choose(&table, &demand, &siblings) else { break };
        table.allocate(at, &demand.each);
        if demand.kind == Kind::Service {
            siblings.add(&table, at);
        }
        used += u64::from(demand.each.cpu_milli);
    }
    used as f64 / (workers as u64 * u64::from(CAPACITY.cpu_milli)) as f64
}

/// Upper bound for the same order of arrival: the share of processors committed when the first task does not fit into
/// a single worker with the capacity of all.
fn upper_bound(shapes: &[(Kind, u32, u32)], workers: usize, seed: u64) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let all_cpu = workers as u64 * u64::from(CAPACITY.cpu_milli);
    let all_memory = workers as u64 * u64::from(CAPACITY.memory_mib);
    let (mut cpu, mut memory) = (0u64, 0u64);
    loop {
        let each = random_demand(shapes, &mut random).each;
        if cpu + u64::from(each.cpu_milli) > all_cpu || memory + u64::from(each.memory_mib) > all_memory {
            return cpu as f64 / all_cpu as f64;
        }
        cpu += u64::from(each.cpu_milli);
        memory += u64::from(each.memory_mib);
    }
}

fn main() {
    println!("workers  running  placed/s/core  median µs  p99 µs   max µs   (commit included)");
    for workers in [50, 155, 500, 1_700, 5_000, 17_000] {
        measure_decisions(workers, (workers * 6).min(10_000), 7_400);
    }
    println!("\nprocessors committed at the first refusal, mean of 20 orders of arrival");
    println!("{:<34} {:>9} {:>9} {:>9} {:>9}", "shape", "first fit", "best fit", "aligned", "bound");
    let ferroplan = [
        (Kind::Service, 2_000, 4_096),
        (Kind::Batch, 4_000, 16_384),
        (Kind::Batch, 1_000, 8_192),
        (Kind::Batch, 6_000, 12_288),
    ];
    let dvorak = [
        (Kind::Service, 1_000, 2_048),
        (Kind::Batch, 3_000, 6_144),
        (Kind::Batch, 2_000, 16_384),
        (Kind::Batch, 5_000, 10_240),
    ];
    measure_packing("rail planning, 50 workers", &ferroplan, 50, 9);
    measure_packing("takeaway ordering, 50 workers", &dvorak, 50, 7);
    measure_packing("rail planning, 1,700 workers", &ferroplan, 1_700, 290);
}
