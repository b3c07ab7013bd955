//! Records that wait to be written to the log.

use work::{JobId, Record};

use crate::engine::{Clock, Engine};
use crate::memory::record_memory;

impl Engine {
    /// Adds a record and returns its position.
    pub(crate) fn record(&mut self, record: Record) -> u64 {
        self.position += 1;
        self.records_memory += record_memory(&record);
        self.records.push_back((self.position, record));
        self.position
    }

    /// Position of the newest record.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Whether records wait to be written to the log.
    pub fn has_pending_records(&self) -> bool {
        !self.records.is_empty()
    }

    /// Takes records of at most `most` bytes when encoded, but at least one if there is any. Returns them with the
    /// position that is durable once they are written.
    pub fn take_records(&mut self, most: usize) -> (Vec<Record>, u64) {
        let mut size: usize = 0;
        let fits = |(_, record): &&(u64, Record)| {
            size = size.saturating_add(record.encoded_size());
            size <= most
        };
        let count = self.records.iter().take_while(fits).count().max(1).min(self.records.len());
        let taken: Vec<Record> = self.records.drain(..count).map(|(_, record)| record).collect();
        self.records_memory -= taken.iter().map(record_memory).sum::<usize>();
        let upto = self.records.front().map_or(self.position, |(position, _)| position - 1);
        (taken, upto)
    }

    /// Processes that all records up to `position` are durable.
    pub fn mark_durable(&mut self, clock: Clock, position: u64) {
        self.durable = self.durable.max(position);
        let durable = self.durable;
        self.workers.values_mut().for_each(|worker| worker.acknowledge(durable));
        self.send_durable_starts(clock);
    }

    /// Removes a job whose record wasn't handed to the log yet. Returns whether that was the case.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let waiting = |record: &(u64, Record)| matches!(&record.1, Record::Accepted { id: other, .. } if *other == id);
        if !self.records.iter().any(waiting) {
            return false;
        }
        self.retract(id);
        true
    }

    /// Removes a job that isn't in the log and never will be.
    pub fn retract(&mut self, id: JobId) {
        self.unclassify(id);
        let memory = &mut self.records_memory;
        self.records.retain(|(_, record)| {
            let kept = record.job() != Some(id) && record.placed_job() != Some(id);
            *memory -= if kept { 0 } else { record_memory(record) };
            kept
        });
        // If the job is submitted again, its starts get the same numbers.
        self.unsent_starts.retain(|(_, _, start)| start.task.unit.job != id);
        for worker in self.workers.values_mut() {
            worker.runs.retain(|(task, _), _| task.unit.job != id);
            worker.recount();
        }
        self.jobs.remove(&id);
        self.live.remove(&id);
    }
}
