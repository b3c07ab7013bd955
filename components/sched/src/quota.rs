//! Limits of workspaces: how much may run for each of them at once.
//!
//! Usage includes every run that is, or may be, on a worker: from the decision to start it until it has certainly
//! ended. After a takeover that includes what the previous leader placed on workers that haven't answered yet. Runs
//! are started up to the limit itself, so that what can't be known (such as an order that a worker carries out late)
//! stays within the overage that operators allow.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::Resources;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use work::{Attempt, Config, Job, JobId, Record, Step, Task, WorkerId, WorkspaceName};

use crate::engine::Engine;
use crate::entry::Entry;
use crate::worker::Worker;

/// Index of a workspace in [`Quota::accounts`].
pub(crate) type WorkspaceIndex = usize;

/// What a run counts against its workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Charge {
    pub workspace: WorkspaceIndex,
    pub need: Resources,
}

/// Limit and usage of a workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub name: WorkspaceName,
    /// 0 in a dimension means unlimited.
    limit: Resources,
    used: Resources,
    /// Number of jobs refused in this term.
    refused: u64,
}

/// Limits and usage of all known workspaces.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quota {
    indices: HashMap<WorkspaceName, WorkspaceIndex>,
    accounts: Vec<Account>,
    /// Runs that earlier leaders ordered and that may still go on, by worker.
    inherited: HashMap<WorkerId, Vec<InheritedRun>>,
    /// The same by task; filled only while the log is replayed.
    replayed: HashMap<Task, Vec<(WorkerId, InheritedRun)>>,
}

/// A run that an earlier leader ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InheritedRun {
    task: Task,
    attempt: Attempt,
    charge: Charge,
}

/// Why a job can never run within its workspace's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("step {step} needs {need} at once, the workspace's limit is {limit}")]
pub struct Excess {
    /// The number of the step that exceeds the limit.
    pub step: u16,
    /// What the step needs at once: for one task, or for a whole gang.
    pub need: Resources,
    /// The limit; 0 in a dimension means unlimited.
    pub limit: Resources,
}

/// Limit and usage of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Resources that may be in use for it at once; 0 in a dimension means unlimited.
    pub limit: Resources,
    /// Resources that are, or may be, in use for it.
    pub used: Resources,
    /// Number of its jobs that haven't ended.
    pub live: usize,
    /// Number of those none of whose tasks has started.
    pub waiting: usize,
    /// Number of jobs that this leader refused because they can never run within the limit.
    pub refused: u64,
    /// Number of jobs that this leader accepted within the share.
    pub within: u64,
    /// Number of jobs that this leader accepted beyond the share.
    pub excess: u64,
}

impl Account {
    /// What may be started in addition to current usage.
    fn free(&self) -> Resources {
        let left = |limit: u32, used: u32| if limit == 0 { u32::MAX } else { limit.saturating_sub(used) };
        Resources {
            cpu_milli: left(self.limit.cpu_milli, self.used.cpu_milli),
            memory_mib: left(self.limit.memory_mib, self.used.memory_mib),
            accelerators: left(self.limit.accelerators, self.used.accelerators),
        }
    }
}

impl Quota {
    /// The index of a workspace, which is added without a limit if it is unknown.
    pub(crate) fn index(&mut self, name: &str) -> WorkspaceIndex {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.accounts.len();
        self.accounts.push(Account { name: name.to_owned(), ..Account::default() });
        self.indices.insert(name.to_owned(), index);
        index
    }

    /// The index of a workspace, if it is known.
    pub(crate) fn known_index(&self, name: &str) -> Option<WorkspaceIndex> {
        self.indices.get(name).copied()
    }

    pub(crate) fn name(&self, index: WorkspaceIndex) -> Option<&WorkspaceName> {
        self.accounts.get(index).map(|account| &account.name)
    }

    /// Applies the limits of a configuration. A workspace that it lacks keeps its last limit, since its jobs go on.
    pub(crate) fn configure(&mut self, config: &Config) {
        for workspace in &config.workspaces {
            let index = self.index(&workspace.name);
            self.accounts[index].limit = workspace.limit;
        }
    }

    /// Number of tasks of this need that may be started now.
    pub(crate) fn startable_tasks(&self, workspace: Option<WorkspaceIndex>, need: &Resources) -> usize {
        let Some(account) = workspace.and_then(|index| self.accounts.get(index)) else { return usize::MAX };
        let free = account.free();
        let ratio = |free: u32, need: u32| match free {
            u32::MAX => usize::MAX,
            free => free.checked_div(need).map_or(usize::MAX, |tasks| tasks as usize),
        };
        let cpu = ratio(free.cpu_milli, need.cpu_milli);
        let memory = ratio(free.memory_mib, need.memory_mib);
        cpu.min(memory).min(ratio(free.accelerators, need.accelerators))
    }

    /// Adds tasks of this need to the usage.
    pub(crate) fn add_usage(&mut self, workspace: Option<WorkspaceIndex>, need: &Resources, tasks: usize) {
        if let Some(account) = workspace.and_then(|index| self.accounts.get_mut(index)) {
            account.used = account.used.saturating_add(&need.saturating_mul(tasks));
        }
    }

    /// Counts a refused job.
    pub(crate) fn count_refusal(&mut self, workspace: &str) {
        let index = self.index(workspace);
        self.accounts[index].refused += 1;
    }

    /// Usage and limit of a workspace; `None` if it has no limit.
    pub(crate) fn usage_and_limit(&self, workspace: WorkspaceIndex) -> Option<(Resources, Resources)> {
        let account = self.accounts.get(workspace)?;
        (account.limit != Resources::ZERO).then_some((account.used, account.limit))
    }

    /// Why a job of a workspace can never run within its limit; `None` if it can.
    pub(crate) fn excess(&self, workspace: &str, job: &Job) -> Option<Excess> {
        let limit = self.accounts.get(*self.indices.get(workspace)?)?.limit;
        let unused = Account { limit, ..Account::default() };
        let excess = |(index, step): (usize, &Step)| {
            let need = step.need.saturating_mul(if step.gang { step.count as usize } else { 1 });
            let excess = Excess { step: index as u16, need, limit };
            (!need.fits_in(&unused.free())).then_some(excess)
        };
        job.steps.iter().enumerate().find_map(excess)
    }

    /// Replays the record of a run.
    pub(crate) fn replay_run(&mut self, task: Task, attempt: Attempt, worker: &str, charge: Charge) {
        let runs = self.replayed.entry(task).or_default();
        let run = (worker.to_owned(), InheritedRun { task, attempt, charge });
        if !runs.contains(&run) {
            runs.push(run);
        }
    }

    /// Replays the record of a completed task. The newest known run of the task is taken to be the one that completed
    /// it.
    pub(crate) fn replay_done(&mut self, task: Task) {
        if let Some(runs) = self.replayed.get_mut(&task) {
            let newest = runs.iter().map(|(_, run)| run.attempt).max();
            runs.retain(|(_, run)| Some(run.attempt) != newest);
        }
    }

    /// Replays the record of a failed run.
    pub(crate) fn replay_failed(&mut self, task: Task, attempt: Attempt) {
        if let Some(runs) = self.replayed.get_mut(&task) {
            runs.retain(|(_, run)| run.attempt != attempt);
        }
    }

    /// Ends the replay: the runs in the log count until their workers have answered.
    pub(crate) fn finish_replay(&mut self) {
        for (worker, run) in std::mem::take(&mut self.replayed).into_values().flatten() {
            self.inherited.entry(worker).or_default().push(run);
        }
    }

    /// Records of the runs of these jobs that earlier leaders ordered, for the next leader.
    pub(crate) fn leftovers<'a>(&'a self, ids: &'a BTreeSet<JobId>) -> impl Iterator<Item = (JobId, Record)> + 'a {
        let runs = self.inherited.iter().flat_map(|(worker, runs)| runs.iter().map(move |run| (worker, run)));
        let wanted = runs.filter(|(_, run)| ids.contains(&run.task.unit.job));
        wanted.filter_map(|(worker, run)| {
            let record = self.leftover(worker, run.task, run.attempt, run.charge)?;
            Some((run.task.unit.job, record))
        })
    }

    /// The record of a run that may go on although its task doesn't wait for it.
    pub(crate) fn leftover(&self, worker: &str, task: Task, attempt: Attempt, charge: Charge) -> Option<Record> {
        let workspace = self.name(charge.workspace)?.clone();
        Some(Record::Leftover { task, attempt, worker: worker.to_owned(), workspace, need: charge.need })
    }

    /// Transfers runs that earlier leaders ordered to the next incarnation of their worker, which may have started
    /// them.
    pub(crate) fn hand_over(&mut self, id: &str, next: &str) {
        if let Some(runs) = self.inherited.remove(id) {
            self.inherited.entry(next.to_owned()).or_default().extend(runs);
        }
    }

    /// Recomputes the usage of all workspaces.
    fn recount(&mut self, workers: &BTreeMap<WorkerId, Worker>, open: impl Fn(&WorkerId) -> bool) {
        self.inherited.retain(|worker, _| open(worker));
        self.accounts.iter_mut().for_each(|account| account.used = Resources::ZERO);
        let runs = workers.values().flat_map(|worker| worker.runs.values().filter_map(|run| run.charge));
        let earlier = self.inherited.values().flatten().map(|run| run.charge);
        let charges: Vec<Charge> = runs.chain(earlier).collect();
        charges.into_iter().for_each(|charge| self.add_usage(Some(charge.workspace), &charge.need, 1));
    }
}

impl Engine {
    /// Recomputes the usage of all workspaces. That costs little and avoids updates at each of the six transitions of
    /// a run.
    pub(crate) fn recount_quota(&mut self) {
        if self.quota.accounts.is_empty() {
            return;
        }
        let mut quota = std::mem::take(&mut self.quota);
        let unseen = self.unseen();
        quota.recount(&self.workers, |worker| unseen.may_run(worker));
        self.quota = quota;
    }

    /// Checks whether a job can ever run within its workspace's limit. If it can't, counts it as refused and returns
    /// why.
    pub fn excess(&mut self, workspace: &str, job: &Job) -> Option<Excess> {
        let excess = self.quota.excess(workspace, job)?;
        self.quota.count_refusal(workspace);
        Some(excess)
    }

    /// All workspaces, by name.
    pub fn workspaces(&mut self) -> Vec<Workspace> {
        self.recount_quota();
        let summary = |(index, account): (WorkspaceIndex, &Account)| Workspace {
            name: account.name.clone(),
            limit: account.limit,
            used: account.used,
            live: 0,
            waiting: 0,
            refused: account.refused,
            within: self.buckets.counts(index).within,
            excess: self.buckets.counts(index).excess,
        };
        let mut found: Vec<Workspace> = self.quota.accounts.iter().enumerate().map(summary).collect();
        let live = self.live.iter().filter_map(|id| self.jobs.get(id));
        for entry in live {
            let Some(workspace) = entry.workspace.and_then(|index| found.get_mut(index)) else { continue };
            workspace.live += 1;
            workspace.waiting += usize::from(self.is_waiting(entry));
        }
        found.sort_by(|a, b| a.name.cmp(&b.name));
        found
    }

    /// Why the tasks of a step wait for their workspace's limit; `None` if they don't.
    pub(crate) fn quota_wait_reason(&self, entry: &Entry, step: &Step, pending: usize) -> Option<String> {
        let workspace = entry.workspace?;
        let least = if step.gang { pending } else { 1 };
        if self.quota.startable_tasks(Some(workspace), &step.need) >= least {
            return None;
        }
        let (used, limit) = self.quota.usage_and_limit(workspace)?;
        let name = self.quota.name(workspace)?;
        let whole = if step.gang { ", all at once" } else { "" };
        Some(format!(
            "{pending} tasks of {} each{whole} wait for the limit of workspace {name}: {used} of {limit} are in use",
            step.need
        ))
    }
}

impl Entry {
    /// What a task of a step counts against its workspace's limit.
    pub(crate) fn charge(&self, step: u16) -> Option<Charge> {
        Some(Charge { workspace: self.workspace?, need: self.step(step)?.need })
    }
}
