//! The workers of one data centre, laid out for a fast scan.

use std::collections::HashMap;

use model::{RackId, Resources, WorkerId};

/// Position of a worker in a cell; stays valid while the cell lives.
pub type WorkerIndex = usize;

/// A worker as it is told to the cell.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// All that it offers.
    pub capacity: Resources,
    /// Not committed.
    pub free: Resources,
    /// Whether it takes new tasks.
    pub open: bool,
}

/// What a scan reads of a worker, in one cache line for two.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slot {
    pub(crate) free: Resources,
    pub(crate) capacity: Resources,
    pub(crate) rack: u32,
    pub(crate) open: bool,
}

/// The workers of one data centre.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    pub(crate) slots: Vec<Slot>,
    ids: Vec<WorkerId>,
    index: HashMap<WorkerId, WorkerIndex>,
    racks: HashMap<RackId, u32>,
}

impl WorkerTable {
    /// Creates a cell; the order of the workers breaks ties.
    pub fn new(workers: impl IntoIterator<Item = Worker>) -> WorkerTable {
        let mut cell = WorkerTable::default();
        for worker in workers {
            cell.upsert(worker);
        }
        cell
    }

    /// Adds a worker, or replaces what is known of it.
    pub fn upsert(&mut self, worker: Worker) -> WorkerIndex {
        let next_rack = self.racks.len() as u32;
        let rack = *self.racks.entry(worker.rack).or_insert(next_rack);
        let slot = Slot { free: worker.free, capacity: worker.capacity, rack, open: worker.open };
        if let Some(at) = self.index.get(&worker.id) {
            self.slots[*at] = slot;
            return *at;
        }
        let at = self.slots.len();
        self.index.insert(worker.id.clone(), at);
        self.ids.push(worker.id);
        self.slots.push(slot);
        at
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Name of a worker.
    pub fn id(&self, at: WorkerIndex) -> &WorkerId {
        &self.ids[at]
    }

    /// Position of a worker.
    pub fn find(&self, id: &str) -> Option<WorkerIndex> {
        self.index.get(id).copied()
    }

    /// What is free on a worker.
    pub fn free(&self, at: WorkerIndex) -> Resources {
        self.slots[at].free
    }

    /// Number of a worker's rack.
    pub fn rack(&self, at: WorkerIndex) -> u32 {
        self.slots[at].rack
    }

    /// Takes from what is free; false, and nothing taken, when it does not fit.
    pub fn allocate(&mut self, at: WorkerIndex, amount: &Resources) -> bool {
        let slot = &mut self.slots[at];
        match slot.free.checked_sub(amount) {
            Some(rest) => {
                slot.free = rest;
                true
            }
            None => false,
        }
    }

    /// Gives back what was taken, never above the capacity.
    pub fn release(&mut self, at: WorkerIndex, amount: &Resources) {
        let slot = &mut self.slots[at];
        let sum = slot.free.checked_add(amount).unwrap_or(slot.capacity);
        slot.free = Resources {
            cpu_milli: sum.cpu_milli.min(slot.capacity.cpu_milli),
            memory_mib: sum.memory_mib.min(slot.capacity.memory_mib),
            accelerators: sum.accelerators.min(slot.capacity.accelerators),
        };
    }

    /// Whether a worker takes new tasks.
    pub fn is_open(&self, at: WorkerIndex) -> bool {
        self.slots[at].open
    }

    /// Opens a worker for new tasks, or closes it.
    pub fn set_open(&mut self, at: WorkerIndex, open: bool) {
        self.slots[at].open = open;
    }
}
