//! Parts of the log that are on their way to the store.
//!
//! While the store refuses a part and says that it has done nothing, jobs can still be taken out of it: their callers are told
//! that they have not run, and when to come back, where they were left without a true answer before.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use work::log::Part;
use work::{JobId, Record};

/// A part that isn't known to be written.
struct PendingPart {
    part: Part,
    /// Whether it may have been written.
    maybe_written: bool,
}

/// All of them, by their numbers.
#[derive(Default)]
pub(crate) struct PendingParts(Mutex<BTreeMap<u64, PendingPart>>);

impl PendingParts {
    pub(crate) fn add(&self, number: u64, part: Part) {
        self.0.lock().insert(number, PendingPart { part, maybe_written: false });
    }

    /// The part as it is to be sent: from now on it may be written.
    pub(crate) fn mark_sent(&self, number: u64) -> Option<Part> {
        let mut pending_parts = self.0.lock();
        let pending = pending_parts.get_mut(&number)?;
        pending.maybe_written = true;
        Some(pending.part.clone())
    }

    /// Nothing of a part was done, and no try of it is under way.
    pub(crate) fn mark_unwritten(&self, number: u64) {
        if let Some(pending) = self.0.lock().get_mut(&number) {
            pending.maybe_written = false;
        }
    }

    /// A part is written.
    pub(crate) fn remove(&self, number: u64) -> Option<Part> {
        self.0.lock().remove(&number).map(|pending| pending.part)
    }

    /// Takes a job out of a part that surely isn't written. Whether it could.
    pub(crate) fn withdraw(&self, id: JobId) -> bool {
        let accepts = |record: &Record| matches!(record, Record::Accepted { id: other, .. } if *other == id);
        let of_job = |record: &Record| record.job() == Some(id) || record.placed_job() == Some(id);
        let mut pending_parts = self.0.lock();
        let unwritten =
            pending_parts.values().any(|pending| !pending.maybe_written && pending.part.records.iter().any(accepts));
        // What was decided of it since may be in a later part that is in doubt: then it stays.
        let independent =
            pending_parts.values().all(|pending| !pending.maybe_written || !pending.part.records.iter().any(of_job));
        if !unwritten || !independent {
            return false;
        }
        pending_parts.values_mut().for_each(|pending| pending.part.records.retain(|record| !of_job(record)));
        true
    }
}
