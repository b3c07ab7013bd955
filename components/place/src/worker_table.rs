//! The workers of one data centre, in a layout that is fast to scan.

use std::collections::{BTreeSet, HashMap};

use model::{RackId, Resources, WorkerId};

/// Position of a worker in a [`WorkerTable`]. Workers are never removed, so it remains valid.
pub type WorkerIndex = usize;

/// A worker to be added to a [`WorkerTable`].
#[derive(Clone, Debug)]
pub struct Worker {
    pub id: WorkerId,
    pub rack: RackId,
    /// Total resources.
    pub capacity: Resources,
    /// Resources that are not committed to tasks.
    pub free: Resources,
    /// Whether it accepts new tasks.
    pub open: bool,
}

/// The data of a worker that a scan reads. Two fit in one cache line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    pub(crate) free: Resources,
    pub(crate) capacity: Resources,
    pub(crate) rack: u32,
    pub(crate) open: bool,
}

/// The workers of one data centre.
#[derive(Clone, Debug, Default)]
pub struct WorkerTable {
    pub(crate) rows: Vec<Row>,
    ids: Vec<WorkerId>,
    index_by_id: HashMap<WorkerId, WorkerIndex>,
    racks: HashMap<RackId, u32>,
}

impl WorkerTable {
    /// Creates a table. If several workers are equally good, the first in `workers` is chosen.
    pub fn new(workers: impl IntoIterator<Item = Worker>) -> WorkerTable {
        let mut table = WorkerTable::default();
        for worker in workers {
            table.upsert(worker);
        }
        table
    }

    /// Adds a worker, or replaces its data if its name is known.
    pub fn upsert(&mut self, worker: Worker) -> WorkerIndex {
        let next_rack = self.racks.len() as u32;
        let rack = *self.racks.entry(worker.rack).or_insert(next_rack);
        let row = Row { free: worker.free, capacity: worker.capacity, rack, open: worker.open };
        if let Some(index) = self.index_by_id.get(&worker.id) {
            self.rows[*index] = row;
            return *index;
        }
        let index = self.rows.len();
        self.index_by_id.insert(worker.id.clone(), index);
        self.ids.push(worker.id);
        self.rows.push(row);
        index
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no workers.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Name of a worker.
    pub fn id(&self, index: WorkerIndex) -> &WorkerId {
        &self.ids[index]
    }

    /// Position of a worker.
    pub fn find(&self, id: &str) -> Option<WorkerIndex> {
        self.index_by_id.get(id).copied()
    }

    /// Free resources of a worker.
    pub fn free(&self, index: WorkerIndex) -> Resources {
        self.rows[index].free
    }

    /// Number of the rack of a worker.
    pub fn rack(&self, index: WorkerIndex) -> u32 {
        self.rows[index].rack
    }

    /// Subtracts `amount` from the free resources. Returns false, without a change, if it does not fit.
    pub fn allocate(&mut self, index: WorkerIndex, amount: &Resources) -> bool {
        let row = &mut self.rows[index];
        match row.free.checked_sub(amount) {
            Some(remaining) => {
                row.free = remaining;
                true
            }
            None => false,
        }
    }

    /// Adds `amount` to the free resources, up to the capacity.
    pub fn release(&mut self, index: WorkerIndex, amount: &Resources) {
        let row = &mut self.rows[index];
        let sum = row.free.checked_add(amount).unwrap_or(row.capacity);
        row.free = Resources {
            cpu_milli: sum.cpu_milli.min(row.capacity.cpu_milli),
            memory_mib: sum.memory_mib.min(row.capacity.memory_mib),
            accelerators: sum.accelerators.min(row.capacity.accelerators),
        };
    }

    /// Whether a worker accepts new tasks.
    pub fn is_open(&self, index: WorkerIndex) -> bool {
        self.rows[index].open
    }

    /// Sets whether a worker accepts new tasks.
    pub fn set_open(&mut self, index: WorkerIndex, open: bool) {
        self.rows[index].open = open;
    }

    /// Closes the given workers, unless these are all workers of the table. Workers that the table does not contain
    /// don't count. Returns those that were open before.
    pub fn close_unless_all(&mut self, ids: &[WorkerId]) -> Vec<WorkerIndex> {
        let indexes: BTreeSet<WorkerIndex> = ids.iter().filter_map(|id| self.find(id)).collect();
        if indexes.len() >= self.len() {
            return Vec::new();
        }
        let open: Vec<WorkerIndex> = indexes.into_iter().filter(|index| self.is_open(*index)).collect();
        for index in &open {
            self.set_open(*index, false);
        }
        open
    }
}
