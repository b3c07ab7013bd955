//! Parts of the log that are on their way to the store.
//!
//! While the store refuses a part and says that it has done nothing, jobs can still be taken out of it: their callers are told
//! that they have not run, and when to come back, where they were left without a true answer before.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use work::log::Part;
use work::{JobId, Record};

/// A part that isn't known to be written.
struct Flight {
    part: Part,
    /// Whether it may have been written.
    doubtful: bool,
}

/// All of them, by their numbers.
#[derive(Default)]
pub(crate) struct Flights(Mutex<BTreeMap<u64, Flight>>);

impl Flights {
    pub(crate) fn launch(&self, number: u64, part: Part) {
        self.0.lock().insert(number, Flight { part, doubtful: false });
    }

    /// The part as it is to be sent: from now on it may be written.
    pub(crate) fn send(&self, number: u64) -> Option<Part> {
        let mut flights = self.0.lock();
        let flight = flights.get_mut(&number)?;
        flight.doubtful = true;
        Some(flight.part.clone())
    }

    /// Nothing of a part was done, and no try of it is under way.
    pub(crate) fn refused(&self, number: u64) {
        if let Some(flight) = self.0.lock().get_mut(&number) {
            flight.doubtful = false;
        }
    }

    /// A part is written.
    pub(crate) fn land(&self, number: u64) -> Option<Part> {
        self.0.lock().remove(&number).map(|flight| flight.part)
    }

    /// Takes a job out of a part that surely isn't written. Whether it could.
    pub(crate) fn withdraw(&self, id: JobId) -> bool {
        let accepts = |record: &Record| matches!(record, Record::Accepted { id: other, .. } if *other == id);
        let of_job = |record: &Record| record.job() == Some(id) || record.placed_job() == Some(id);
        let mut flights = self.0.lock();
        let surely = flights.values().any(|flight| !flight.doubtful && flight.part.records.iter().any(accepts));
        // What was decided of it since may be in a later part that is in doubt: then it stays.
        let apart = flights.values().all(|flight| !flight.doubtful || !flight.part.records.iter().any(of_job));
        if !surely || !apart {
            return false;
        }
        flights.values_mut().for_each(|flight| flight.part.records.retain(|record| !of_job(record)));
        true
    }
}
