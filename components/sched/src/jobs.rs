//! All known jobs, and which of them changed since the last planning pass.
//!
//! A pass looks only at jobs that changed, so that its cost doesn't grow with the number of waiting jobs.

use std::collections::HashMap;
use std::ops::Deref;

use work::JobId;

use crate::entry::Entry;
use crate::memory::ended_job_memory;

/// Jobs by id. Every way to change one records it as changed.
#[derive(Default)]
pub(crate) struct Jobs {
    entries: HashMap<JobId, Entry>,
    /// Changed jobs. A job that is still known is listed once.
    changed: Vec<JobId>,
    /// Memory that the jobs are charged for, in bytes.
    memory: usize,
}

impl Jobs {
    /// Gives access to a job, which counts as changed.
    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(id)?;
        if !std::mem::replace(&mut entry.changed, true) {
            self.changed.push(*id);
        }
        Some(entry)
    }

    /// Gives access to a job for a change that affects neither the order of its units nor whether they are examined.
    pub(crate) fn get_mut_unmarked(&mut self, id: &JobId) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    /// Whether a job changed since the last call of [`Jobs::take_changed`].
    pub(crate) fn is_changed(&self, id: &JobId) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.changed)
    }

    /// Reverts that the last change marked a job as changed.
    pub(crate) fn unmark(&mut self, id: &JobId) {
        if self.changed.pop_if(|last| last == id).is_some()
            && let Some(entry) = self.entries.get_mut(id)
        {
            entry.changed = false;
        }
    }

    pub(crate) fn insert(&mut self, id: JobId, entry: Entry) {
        self.memory += entry.memory;
        let replaced = self.entries.insert(id, Entry { changed: true, ..entry });
        self.memory -= replaced.map_or(0, |entry| entry.memory);
        self.changed.push(id);
    }

    pub(crate) fn remove(&mut self, id: &JobId) {
        self.memory -= self.entries.remove(id).map_or(0, |entry| entry.memory);
        self.changed.push(*id);
    }

    /// Removes the ended jobs that `keep` rejects, and frees what the others no longer need.
    pub(crate) fn retain_ended(&mut self, keep: impl Fn(&Entry) -> bool) {
        let memory = &mut self.memory;
        self.entries.retain(|_, entry| {
            if entry.outcome.is_none() {
                return true;
            }
            let charged = entry.memory;
            if !keep(entry) {
                *memory -= charged;
                return false;
            }
            let ended = ended_job_memory(&entry.job);
            if charged > ended && entry.release_ended() {
                entry.memory = ended_job_memory(&entry.job);
                *memory -= charged - entry.memory;
            }
            true
        });
    }

    /// Memory that the jobs are charged for, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.memory
    }

    /// Marks jobs as changed, for example because the configuration of their queues did.
    pub(crate) fn mark_changed<'a>(&mut self, ids: impl Iterator<Item = &'a JobId>) {
        ids.for_each(|id| {
            self.get_mut(id);
        });
    }

    /// Takes the jobs that changed since the last call. Some may not be known any more.
    pub(crate) fn take_changed(&mut self) -> Vec<JobId> {
        let changed = std::mem::take(&mut self.changed);
        for id in &changed {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.changed = false;
            }
        }
        changed
    }
}

impl Deref for Jobs {
    type Target = HashMap<JobId, Entry>;

    fn deref(&self) -> &HashMap<JobId, Entry> {
        &self.entries
    }
}
