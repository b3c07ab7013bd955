//! Chooses the worker for a task, or all workers for a gang.

use std::collections::HashMap;

use model::workload::Kind;
use model::{Reason, Resources};

use crate::worker_table::{Slot, WorkerIndex, WorkerTable};

/// How workers with room are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The first one with room. The baseline of the measurements.
    FirstFit,
    /// The one that is left with the least over all dimensions.
    BestFit,
    /// The one whose free shape is most like what is asked, then the fullest.
    Aligned,
}

/// What is asked for each task.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Size of one task.
    pub each: Resources,
    /// Decides whether tasks spread or pack.
    pub kind: Kind,
    /// How workers with room are ranked.
    pub policy: Policy,
}

/// Where the other instances of the same service stand.
#[derive(Clone, Debug, Default)]
pub struct Siblings {
    workers: HashMap<WorkerIndex, u32>,
    racks: HashMap<u32, u32>,
}

impl Siblings {
    /// Counts an instance on a worker.
    pub fn add(&mut self, cell: &WorkerTable, at: WorkerIndex) {
        *self.workers.entry(at).or_default() += 1;
        *self.racks.entry(cell.rack(at)).or_default() += 1;
    }

    fn crowding(&self, at: WorkerIndex, rack: u32) -> (u32, u32) {
        let on_worker = self.workers.get(&at).copied().unwrap_or(0);
        let on_rack = self.racks.get(&rack).copied().unwrap_or(0);
        (on_worker, on_rack)
    }
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// There.
    Placed(WorkerIndex),
    /// Nowhere now.
    Waiting(Reason),
    /// Nowhere, however long it waits.
    Impossible(Reason),
}

/// Chooses a worker for one task. Takes nothing.
pub fn choose(cell: &WorkerTable, demand: &Demand, siblings: &Siblings) -> Choice {
    match best(cell, demand, siblings) {
        Some(at) => Choice::Placed(at),
        None => refusal(cell, &demand.each),
    }
}

/// Chooses workers for all tasks of a gang and takes their room; takes nothing when one does not fit.
pub fn choose_gang(cell: &mut WorkerTable, demand: &Demand, count: u32) -> Result<Vec<WorkerIndex>, Choice> {
    let siblings = Siblings::default();
    let mut taken = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let Some(at) = best(cell, demand, &siblings) else {
            for at in &taken {
                cell.release(*at, &demand.each);
            }
            return Err(incomplete(cell, demand, count, taken.len() as u32));
        };
        cell.allocate(at, &demand.each);
        taken.push(at);
    }
    Ok(taken)
}

fn incomplete(cell: &WorkerTable, demand: &Demand, needed: u32, fitting: u32) -> Choice {
    if let Some(reason) = never_fits(cell, &demand.each) {
        return Choice::Impossible(reason);
    }
    // Only workers that are there now count: a gang larger than the whole data centre waits for more workers.
    Choice::Waiting(Reason::GangIncomplete { fitting, needed })
}

fn best(cell: &WorkerTable, demand: &Demand, siblings: &Siblings) -> Option<WorkerIndex> {
    let slots = cell.slots.iter().enumerate();
    let with_room = slots.filter(|(_, slot)| slot.open && demand.each.fits_in(&slot.free));
    match (demand.policy, demand.kind) {
        (Policy::FirstFit, Kind::Batch | Kind::Gang) => with_room.map(|(at, _)| at).next(),
        (policy, Kind::Service) => lowest(with_room, |at, slot| {
            let (on_worker, on_rack) = siblings.crowding(at, slot.rack);
            (on_worker, on_rack, score(policy, slot, &demand.each))
        }),
        (policy, Kind::Batch | Kind::Gang) => lowest(with_room, |_, slot| score(policy, slot, &demand.each)),
    }
}

/// The first position with the lowest rank.
fn lowest<'a, R: PartialOrd>(
    slots: impl Iterator<Item = (WorkerIndex, &'a Slot)>,
    rank: impl Fn(WorkerIndex, &Slot) -> R,
) -> Option<WorkerIndex> {
    let mut found: Option<(R, WorkerIndex)> = None;
    for (at, slot) in slots {
        let here = rank(at, slot);
        if found.as_ref().is_none_or(|(lowest, _)| here < *lowest) {
            found = Some((here, at));
        }
    }
    found.map(|(_, at)| at)
}

/// Lower is better.
fn score(policy: Policy, slot: &Slot, each: &Resources) -> f32 {
    let rest = slot.free.saturating_sub(each);
    let [cpu, memory, accelerators] = fractions(&rest, &slot.capacity);
    match policy {
        Policy::FirstFit => 0.0,
        // Accelerators left over weigh most, so that work without need of them keeps off.
        Policy::BestFit => cpu + memory + accelerators,
        Policy::Aligned => (cpu - memory).abs() + (cpu + memory) * ALIGNED_FULLNESS + accelerators,
    }
}

/// Weight of "fuller is better" beside "balanced is better" in [`Policy::Aligned`].
const ALIGNED_FULLNESS: f32 = 0.5;

fn fractions(amount: &Resources, capacity: &Resources) -> [f32; 3] {
    let fraction = |part: u32, whole: u32| if whole == 0 { 0.0 } else { part as f32 / whole as f32 };
    [
        fraction(amount.cpu_milli, capacity.cpu_milli),
        fraction(amount.memory_mib, capacity.memory_mib),
        fraction(amount.accelerators, capacity.accelerators),
    ]
}

/// Why nothing was found; scans again, since a refusal is rarer than a placement.
fn refusal(cell: &WorkerTable, each: &Resources) -> Choice {
    if cell.is_empty() {
        return Choice::Waiting(Reason::NoWorkers);
    }
    if let Some(reason) = never_fits(cell, each) {
        return Choice::Impossible(reason);
    }
    let open = cell.slots.iter().enumerate().filter(|(_, slot)| slot.open);
    let nearest = nearest(open.map(|(at, slot)| (at, slot.free)), each);
    match nearest {
        Some(at) => Choice::Waiting(Reason::NoRoom { nearest: cell.id(at).clone(), free: cell.free(at) }),
        None => Choice::Waiting(Reason::NoWorkers),
    }
}

/// The reason when no worker, however empty, is large enough; `None` when one is, or none is known.
pub fn never_fits(cell: &WorkerTable, each: &Resources) -> Option<Reason> {
    if cell.slots.iter().any(|slot| each.fits_in(&slot.capacity)) {
        return None;
    }
    let largest = nearest(cell.slots.iter().enumerate().map(|(at, slot)| (at, slot.capacity)), each)?;
    let capacity = cell.slots[largest].capacity;
    Some(Reason::NeverFits { largest: cell.id(largest).clone(), capacity, asked: *each })
}

/// The position whose amount covers the largest part of what is asked, in its scarcest dimension.
fn nearest(amounts: impl Iterator<Item = (WorkerIndex, Resources)>, each: &Resources) -> Option<WorkerIndex> {
    let covered = |amount: &Resources| {
        let part = |have: u32, need: u32| if need == 0 { 1.0 } else { (have as f32 / need as f32).min(1.0) };
        let cpu = part(amount.cpu_milli, each.cpu_milli);
        let memory = part(amount.memory_mib, each.memory_mib);
        let accelerators = part(amount.accelerators, each.accelerators);
        // The scarcest dimension decides; the sum breaks ties.
        (cpu.min(memory).min(accelerators), cpu + memory + accelerators)
    };
    let mut found: Option<((f32, f32), WorkerIndex)> = None;
    for (at, amount) in amounts {
        let here = covered(&amount);
        if found.is_none_or(|(most, _)| here > most) {
            found = Some((here, at));
        }
    }
    found.map(|(_, at)| at)
}
