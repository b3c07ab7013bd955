//! Parts of the log that are being written to the store.
//!
//! While the store rejects a part and reports that nothing was written, jobs can still be removed from it. Their
//! callers are then told that the jobs didn't run and when to retry, instead of being left without a reliable answer.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use work::log::Part;
use work::{JobId, Record};

/// A part that isn't known to be written.
struct PendingPart {
    part: Part,
    /// Memory of its records when it was added, in bytes.
    memory: usize,
    maybe_written: bool,
}

/// Pending parts by number.
#[derive(Default)]
pub(crate) struct PendingParts(Mutex<BTreeMap<u64, PendingPart>>);

impl PendingParts {
    pub(crate) fn add(&self, number: u64, part: Part) {
        let memory = part.records.iter().map(sched::record_memory).sum();
        self.0.lock().insert(number, PendingPart { part, memory, maybe_written: false });
    }

    /// Memory of all parts, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.0.lock().values().map(|pending| pending.memory).sum()
    }

    /// Returns the part for sending; from now on it may be written.
    pub(crate) fn mark_sent(&self, number: u64) -> Option<Part> {
        let mut pending_parts = self.0.lock();
        let pending = pending_parts.get_mut(&number)?;
        pending.maybe_written = true;
        Some(pending.part.clone())
    }

    /// Total size of a part's records, in bytes.
    pub(crate) fn records_size(&self, number: u64) -> Option<usize> {
        let pending_parts = self.0.lock();
        Some(pending_parts.get(&number)?.part.records.iter().map(Record::encoded_size).sum())
    }

    /// Records that the part isn't written and that no try is in progress.
    pub(crate) fn mark_unwritten(&self, number: u64) {
        if let Some(pending) = self.0.lock().get_mut(&number) {
            pending.maybe_written = false;
        }
    }

    /// Removes a part that was written.
    pub(crate) fn remove(&self, number: u64) -> Option<Part> {
        self.0.lock().remove(&number).map(|pending| pending.part)
    }

    /// Removes a job from a part that is certainly not written. Returns whether that was possible.
    pub(crate) fn withdraw(&self, id: JobId) -> bool {
        let accepts = |record: &Record| matches!(record, Record::Accepted { id: other, .. } if *other == id);
        let of_job = |record: &Record| record.job() == Some(id) || record.placed_job() == Some(id);
        let mut pending_parts = self.0.lock();
        let unwritten =
            pending_parts.values().any(|pending| !pending.maybe_written && pending.part.records.iter().any(accepts));
        // Later records of the job may be in a part that may have been written: then the job stays.
        let independent =
            pending_parts.values().all(|pending| !pending.maybe_written || !pending.part.records.iter().any(of_job));
        if !unwritten || !independent {
            return false;
        }
        pending_parts.values_mut().for_each(|pending| pending.part.records.retain(|record| !of_job(record)));
        true
    }
}
