//! Handles updates of the platform's list of workers, and the end of workers.
//!
//! A restarted worker may keep its name, and the list may lag behind: the next incarnation may answer before the list
//! shows it, and the list may still show an earlier one for a while. Orders name the worker, not its incarnation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use work::{Record, WorkerId, WorkerIncarnation};

use crate::engine::{Action, Clock, Engine};
use crate::lost_runs::{EndedWorker, WorkerEndReason};
use crate::restore::unlisted_info;
use crate::worker::{Worker, WorkerInfo};

/// How an entry of the list relates to the known workers.
enum ListEntry {
    /// It shows an unknown incarnation.
    New,
    /// It shows this known incarnation.
    Known(WorkerId),
    /// It is older than this known incarnation, and is ignored.
    Stale(WorkerId),
    /// It shows when this known incarnation was born, which was unknown so far.
    BirthLearnt(WorkerId),
}

impl Engine {
    /// Processes an update of the platform's list of workers.
    pub fn update_workers(&mut self, clock: Clock, listed: BTreeMap<WorkerId, WorkerInfo>) {
        self.superseded.retain(|id| listed.contains_key(id));
        let mut present = BTreeMap::new();
        for (id, info) in listed {
            match self.classify_entry(&id) {
                ListEntry::New => present.insert(id, Some(info)),
                ListEntry::Known(known) => present.insert(known, Some(info)),
                ListEntry::Stale(known) => present.insert(known, None),
                ListEntry::BirthLearnt(known) => {
                    self.rename(clock, &known, &id);
                    present.insert(id, Some(info))
                }
            };
        }
        self.apply_list(clock, present);
    }

    /// How the entry with this id relates to the known workers.
    fn classify_entry(&self, id: &str) -> ListEntry {
        let Some(known) = self.latest_incarnation(id) else { return ListEntry::New };
        match (WorkerIncarnation::from_id(id).born, WorkerIncarnation::from_id(&known).born) {
            _ if self.superseded.contains(id) => ListEntry::Stale(known),
            (Some(born), Some(latest)) if born < latest => ListEntry::Stale(known),
            (Some(born), Some(latest)) if born > latest => ListEntry::New,
            (Some(_), None) => ListEntry::BirthLearnt(known),
            _ => ListEntry::Known(known),
        }
    }

    /// The latest known incarnation of the worker with this id.
    pub(crate) fn latest_incarnation(&self, id: &str) -> Option<WorkerId> {
        let name = WorkerIncarnation::from_id(id).name;
        let first = WorkerIncarnation { name, born: Some(0) }.id();
        let born = self.workers.range(first..).map(|(id, _)| id);
        let incarnations = born.take_while(|id| WorkerIncarnation::from_id(id).name == name);
        let unborn = self.workers.get_key_value(name).map(|(id, _)| id);
        incarnations.chain(unborn).max_by_key(|id| WorkerIncarnation::from_id(id).born).cloned()
    }

    /// Processes the incarnations that are listed now. Those whose entries are stale (`None`) stay as they are.
    fn apply_list(&mut self, clock: Clock, present: BTreeMap<WorkerId, Option<WorkerInfo>>) {
        for (id, worker) in &mut self.workers {
            match present.contains_key(id) {
                true => worker.unlisted_since = None,
                false => {
                    worker.unlisted_since.get_or_insert(clock.now);
                }
            }
        }
        let replaced = self.replaced_incarnations(&present);
        let former: BTreeSet<WorkerId> = present
            .iter()
            .filter(|(id, info)| info.as_ref().is_some_and(|info| self.is_former_incarnation(id, info)))
            .map(|(id, _)| id.clone())
            .collect();
        for (id, info) in present {
            let Some(info) = info.filter(|_| !former.contains(&id)) else { continue };
            // The entry of a dead worker remains until it has missed three heartbeats. Without this check each update
            // would record the worker again and find it gone.
            let follows = self.latest_incarnation(&id).is_some();
            if !self.superseded.contains(&id) && (follows || self.has_pool(&info.pool)) {
                self.add_or_update_worker(clock, id, info);
            }
        }
        replaced.iter().for_each(|id| self.end_worker(clock, id, WorkerEndReason::Followed));
    }

    /// Unlisted incarnations that a later one, under their name or at their address, has replaced.
    ///
    /// An entry may be missing, late, or that of an earlier incarnation while its worker goes on. Only times of
    /// birth, which come from the clock of one machine, prove the order of incarnations. Where they are unknown, the
    /// next answer from the address shows which incarnation is there.
    fn replaced_incarnations(&self, present: &BTreeMap<WorkerId, Option<WorkerInfo>>) -> Vec<WorkerId> {
        let missing: Vec<(&WorkerId, &Worker)> =
            self.workers.iter().filter(|(id, _)| !present.contains_key(*id)).collect();
        if missing.is_empty() {
            return Vec::new();
        }
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        for (id, info) in present.iter().filter_map(|(id, info)| Some((id, info.as_ref()?))) {
            let Some(born) = WorkerIncarnation::from_id(id).born else { continue };
            for key in [WorkerIncarnation::from_id(id).name, info.address.as_str()] {
                let known = latest.entry(key).or_insert(born);
                *known = born.max(*known);
            }
        }
        let is_replaced = |(id, worker): &(&WorkerId, &Worker)| {
            let WorkerIncarnation { name, born } = WorkerIncarnation::from_id(id);
            let later = |key: &str| latest.get(key).is_some_and(|latest| born.is_some_and(|born| *latest > born));
            later(name) || later(&worker.info.address)
        };
        missing.into_iter().filter(is_replaced).map(|(id, _)| id.clone()).collect()
    }

    /// Whether an entry shows an incarnation that was known to have ended before another one was found at its
    /// address.
    fn is_former_incarnation(&self, id: &str, info: &WorkerInfo) -> bool {
        let held = || self.workers.iter().rev().find(|(_, worker)| worker.info.address == info.address);
        self.departed.contains(id) && held().is_some_and(|(other, _)| other != id)
    }

    /// Whether any queue uses a pool. Anyone may write to the list, so workers of unused pools aren't even contacted.
    fn has_pool(&self, pool: &str) -> bool {
        self.most_urgent.contains_key(pool) || self.config.queues.is_empty()
    }

    /// Adds or updates a worker from the list.
    fn add_or_update_worker(&mut self, clock: Clock, id: WorkerId, info: WorkerInfo) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.unlisted_since = None;
            // A worker that announced its shutdown can't revoke that.
            let info = WorkerInfo { draining: worker.info.draining || info.draining, ..info };
            if *worker.info != info {
                worker.info = Arc::new(info);
                worker.recount();
            }
            return;
        }
        self.record_worker(clock, id, info);
    }

    /// Adds an unknown worker, which gets orders once its record is durable.
    pub(crate) fn record_worker(&mut self, clock: Clock, id: WorkerId, info: WorkerInfo) {
        let position = self.record(Record::Worker { id: id.clone(), address: info.address.clone() });
        self.workers.insert(id, Worker::new(info, None, position, clock.now));
    }

    /// Removes an incarnation that has ended, so that nothing runs there any more. The end is attributed to the tasks
    /// that were there before any of them is started again.
    pub(crate) fn end_worker(&mut self, clock: Clock, id: &str, reason: WorkerEndReason) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (last_heard, draining) = (worker.last_heard, worker.info.draining);
        let silent = clock.now.saturating_sub(last_heard);
        let mut runs = std::mem::take(&mut worker.possibly_lost);
        self.remove_silent(&runs);
        runs.extend(self.losses(id, last_heard));
        let next = self.latest_incarnation(id).filter(|next| next != id);
        let mut ended =
            EndedWorker { worker: id.to_owned(), reason, silent, draining, runs, reported: None, next: next.clone() };
        let unsettled_runs = self.unsettled_runs(id);
        self.free_all_runs(clock, id);
        let exhausted = self.attribute_end(&mut ended);
        self.ended_workers.push(ended);
        self.workers.remove(id);
        self.departed.insert(id.to_owned());
        if let Some(next) = &next {
            self.hand_over(clock, id, next, unsettled_runs);
        }
        self.record(Record::Gone { id: id.to_owned() });
        self.actions.push(Action::Forget(id.to_owned()));
        self.fail_jobs(clock, exhausted);
    }

    /// Processes that another incarnation has answered at the worker's address. `next` is its id if it has the same
    /// name. It gets no work until the list shows it.
    pub fn worker_replaced(&mut self, clock: Clock, id: &str, next: Option<WorkerId>) {
        let Some(worker) = self.workers.get(id) else { return };
        let address = worker.info.address.clone();
        if let Some(next) = next.filter(|next| !self.workers.contains_key(next)) {
            self.record_worker(clock, next, WorkerInfo { address, ..unlisted_info() });
        }
        self.end_worker(clock, id, WorkerEndReason::Replaced);
        self.superseded.insert(id.to_owned());
    }
}
