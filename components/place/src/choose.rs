//! Chooses the worker for a task, or the workers for all tasks of a gang.

use std::collections::HashMap;

use model::workload::Kind;
use model::{Reason, Resources};

use crate::worker_table::{Row, WorkerIndex, WorkerTable};

/// How workers with enough free resources are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The first worker with room. Baseline for measurements.
    FirstFit,
    /// The worker with the least remaining resources, summed over all dimensions.
    BestFit,
    /// The worker whose remaining processor and memory fractions are most balanced, and that is fuller.
    Aligned,
}

/// Requirements of a task.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Size of one task.
    pub each: Resources,
    /// Decides whether tasks are spread over workers or packed.
    pub kind: Kind,
    pub policy: Policy,
}

/// Number of instances of the same service on each worker and rack.
#[derive(Clone, Debug, Default)]
pub struct Siblings {
    workers: HashMap<WorkerIndex, u32>,
    racks: HashMap<u32, u32>,
}

impl Siblings {
    /// Adds an instance on a worker.
    pub fn add(&mut self, table: &WorkerTable, index: WorkerIndex) {
        *self.workers.entry(index).or_default() += 1;
        *self.racks.entry(table.rack(index)).or_default() += 1;
    }

    fn counts(&self, index: WorkerIndex, rack: u32) -> (u32, u32) {
        let on_worker = self.workers.get(&index).copied().unwrap_or(0);
        let on_rack = self.racks.get(&rack).copied().unwrap_or(0);
        (on_worker, on_rack)
    }
}

/// Result of choosing a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// On this worker.
    Placed(WorkerIndex),
    /// No worker has room now.
    Waiting(Reason),
    /// No worker is large enough, so waiting does not help.
    Impossible(Reason),
}

/// Chooses a worker for one task, without allocating its resources.
pub fn choose(table: &WorkerTable, demand: &Demand, siblings: &Siblings) -> Choice {
    match best(table, demand, siblings) {
        Some(index) => Choice::Placed(index),
        None => refusal(table, &demand.each),
    }
}

/// Chooses workers for all `count` tasks of a gang and allocates their resources.
///
/// # Errors
/// If one of the tasks does not fit, nothing is allocated and the reason is returned.
pub fn choose_gang(table: &mut WorkerTable, demand: &Demand, count: u32) -> Result<Vec<WorkerIndex>, Choice> {
    let siblings = Siblings::default();
    let mut allocated = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let Some(index) = best(table, demand, &siblings) else {
            for index in &allocated {
                table.release(*index, &demand.each);
            }
            return Err(incomplete(table, demand, count, allocated.len() as u32));
        };
        table.allocate(index, &demand.each);
        allocated.push(index);
    }
    Ok(allocated)
}

fn incomplete(table: &WorkerTable, demand: &Demand, needed: u32, fitting: u32) -> Choice {
    if let Some(reason) = never_fits(table, &demand.each) {
        return Choice::Impossible(reason);
    }
    // A gang that is larger than the whole data centre waits, as more workers may be added.
    Choice::Waiting(Reason::GangIncomplete { fitting, needed })
}

fn best(table: &WorkerTable, demand: &Demand, siblings: &Siblings) -> Option<WorkerIndex> {
    let rows = table.rows.iter().enumerate();
    let with_room = rows.filter(|(_, row)| row.open && demand.each.fits_in(&row.free));
    match (demand.policy, demand.kind) {
        (Policy::FirstFit, Kind::Batch | Kind::Gang) => with_room.map(|(index, _)| index).next(),
        (policy, Kind::Service) => lowest(with_room, |index, row| {
            let (on_worker, on_rack) = siblings.counts(index, row.rack);
            (on_worker, on_rack, score(policy, row, &demand.each))
        }),
        (policy, Kind::Batch | Kind::Gang) => lowest(with_room, |_, row| score(policy, row, &demand.each)),
    }
}

/// The first worker with the lowest rank.
fn lowest<'a, R: PartialOrd>(
    rows: impl Iterator<Item = (WorkerIndex, &'a Row)>,
    rank: impl Fn(WorkerIndex, &Row) -> R,
) -> Option<WorkerIndex> {
    let mut best: Option<(R, WorkerIndex)> = None;
    for (index, row) in rows {
        let candidate = rank(index, row);
        if best.as_ref().is_none_or(|(lowest, _)| candidate < *lowest) {
            best = Some((candidate, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Score of a worker for a demand; lower is better.
fn score(policy: Policy, row: &Row, each: &Resources) -> f32 {
    let remaining = row.free.saturating_sub(each);
    let [cpu, memory, accelerators] = fractions(&remaining, &row.capacity);
    match policy {
        Policy::FirstFit => 0.0,
        // Remaining accelerators weigh most, so that tasks that need none avoid workers that have them.
        Policy::BestFit => cpu + memory + accelerators,
        Policy::Aligned => (cpu - memory).abs() + (cpu + memory) * ALIGNED_FULLNESS + accelerators,
    }
}

/// Weight of fullness relative to balance in [`Policy::Aligned`].
const ALIGNED_FULLNESS: f32 = 0.5;

fn fractions(amount: &Resources, capacity: &Resources) -> [f32; 3] {
    let fraction = |part: u32, whole: u32| if whole == 0 { 0.0 } else { part as f32 / whole as f32 };
    [
        fraction(amount.cpu_milli, capacity.cpu_milli),
        fraction(amount.memory_mib, capacity.memory_mib),
        fraction(amount.accelerators, capacity.accelerators),
    ]
}

/// The reason why no worker was found. This scans all workers again, as failures are rarer than placements.
fn refusal(table: &WorkerTable, each: &Resources) -> Choice {
    if table.is_empty() {
        return Choice::Waiting(Reason::NoWorkers);
    }
    if let Some(reason) = never_fits(table, each) {
        return Choice::Impossible(reason);
    }
    let open = table.rows.iter().enumerate().filter(|(_, row)| row.open);
    let nearest = nearest(open.map(|(index, row)| (index, row.free)), each);
    match nearest {
        Some(index) => Choice::Waiting(Reason::NoRoom { nearest: table.id(index).clone(), free: table.free(index) }),
        None => Choice::Waiting(Reason::NoWorkers),
    }
}

/// The reason if no worker is large enough even when empty. `None` if one is large enough, or the table is empty.
pub fn never_fits(table: &WorkerTable, each: &Resources) -> Option<Reason> {
    if table.rows.iter().any(|row| each.fits_in(&row.capacity)) {
        return None;
    }
    let largest = nearest(table.rows.iter().enumerate().map(|(index, row)| (index, row.capacity)), each)?;
    let capacity = table.rows[largest].capacity;
    Some(Reason::NeverFits { largest: table.id(largest).clone(), capacity, asked: *each })
}

/// The worker whose amount covers the largest part of the demand, judged by its scarcest dimension.
fn nearest(amounts: impl Iterator<Item = (WorkerIndex, Resources)>, each: &Resources) -> Option<WorkerIndex> {
    let covered = |amount: &Resources| {
        let part = |have: u32, need: u32| if need == 0 { 1.0 } else { (have as f32 / need as f32).min(1.0) };
        let cpu = part(amount.cpu_milli, each.cpu_milli);
        let memory = part(amount.memory_mib, each.memory_mib);
        let accelerators = part(amount.accelerators, each.accelerators);
        // Ordered by the scarcest dimension, then by the sum of all dimensions.
        (cpu.min(memory).min(accelerators), cpu + memory + accelerators)
    };
    let mut best: Option<((f32, f32), WorkerIndex)> = None;
    for (index, amount) in amounts {
        let candidate = covered(&amount);
        if best.is_none_or(|(highest, _)| candidate > highest) {
            best = Some((candidate, index));
        }
    }
    best.map(|(_, index)| index)
}
