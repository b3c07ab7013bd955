//! Memory of jobs, by which a leader decides whether it can accept another one.
//!
//! A job is charged for all that it may come to take while it hasn't ended. What a next leader takes that reads the job from
//! the log is the same.

use std::mem::size_of;
use std::time::Duration;

use work::{Job, JobId, Record};

use crate::engine::Engine;
use crate::entry::{Entry, TaskState, UnitState};
use crate::place::MAX_OPEN_TASKS;
use crate::worker::Run;

/// Texts of a task and its run, such as the id of the worker and the checkpoint, in several places.
const TASK_TEXT_BYTES: usize = 64;
const TASK_BYTES: usize = size_of::<TaskState>() + size_of::<Run>() + TASK_TEXT_BYTES;
/// Text of a record that isn't a job's, such as the id of a worker.
const RECORD_TEXT_BYTES: usize = 32;
/// A job's entry and its place in maps.
const ENTRY_BYTES: usize = size_of::<Entry>() + 4 * size_of::<JobId>();

/// Bound on the memory that a job takes from its acceptance to its end, in bytes.
pub fn job_memory(job: &Job) -> usize {
    let tasks: usize = job.steps.iter().map(|step| step.count as usize).sum();
    let rounds = job.rounds() as usize;
    let open_tasks = tasks.saturating_mul(rounds).min(tasks + MAX_OPEN_TASKS);
    let units = job.steps.len().saturating_mul(rounds);
    ended_job_memory(job) + units * size_of::<UnitState>() + open_tasks * TASK_BYTES
}

/// Memory of a job that has ended, in bytes.
pub(crate) fn ended_job_memory(job: &Job) -> usize {
    ENTRY_BYTES + job.memory()
}

/// Memory of a record, in bytes.
pub fn record_memory(record: &Record) -> usize {
    let job = match record {
        Record::Accepted { job, .. } => job.memory(),
        Record::Rewritten(record) => record_memory(record),
        _ => RECORD_TEXT_BYTES,
    };
    size_of::<Record>() + job
}

impl Engine {
    /// Drops ended jobs whose retention time is over.
    pub fn forget_ended_jobs(&mut self, now: Duration) {
        let keep = self.limits.keep_ended;
        self.jobs.retain_ended(|entry| entry.outcome.is_none_or(|ended| now.saturating_sub(ended.at) < keep));
    }

    /// Memory of all known jobs and of the records that aren't handed to the log yet, in bytes.
    pub fn memory(&self) -> usize {
        self.jobs.memory() + self.records_memory
    }
}
