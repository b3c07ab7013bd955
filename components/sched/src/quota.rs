//! Limits of workspaces: how much may run for each of them at once.
//!
//! What counts is every run that is, or may be, on a worker: from the decision to start it until its end is certain. After a
//! takeover that is also what the leader before has placed on workers that haven't answered yet. The limit itself is aimed at, so
//! that what nobody can know (an order that a worker carries out late) stays within the overage that operators allow.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::Resources;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use work::{Attempt, Config, Job, JobId, Record, Step, Task, WorkerId, WorkspaceName};

use crate::engine::Engine;
use crate::entry::Entry;
use crate::worker::{Contact, Worker};

/// Place of a workspace among the accounts.
pub(crate) type WorkspaceIndex = usize;

/// What a run takes of its workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Charge {
    pub workspace: WorkspaceIndex,
    pub need: Resources,
}

/// One workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    pub name: WorkspaceName,
    /// 0 in a dimension stands for any amount.
    limit: Resources,
    used: Resources,
    /// Jobs refused in this reign.
    refused: u64,
}

/// All workspaces that the book knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quota {
    indices: HashMap<WorkspaceName, WorkspaceIndex>,
    accounts: Vec<Account>,
    /// What earlier leaders have placed and what may run on, by worker.
    inherited: HashMap<WorkerId, Vec<InheritedRun>>,
    /// The same by task, while the log is read.
    replayed: HashMap<Task, Vec<(WorkerId, InheritedRun)>>,
}

/// A run that an earlier leader has ordered.
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
    /// The step.
    pub step: u16,
    /// What it needs at once: for one task, or for a whole gang.
    pub need: Resources,
    /// The limit; 0 in a dimension stands for any amount.
    pub limit: Resources,
}

/// How a workspace stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// The most that may run for it at once; 0 in a dimension stands for any amount.
    pub limit: Resources,
    /// What runs for it, or may.
    pub used: Resources,
    /// Its jobs that haven't ended.
    pub live: usize,
    /// Those of them none of whose tasks has begun.
    pub waiting: usize,
    /// Jobs that this leader has refused since they can never run within its limit.
    pub refused: u64,
}

impl Account {
    /// What may be started besides what runs.
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
    /// The number of a workspace, which has no limit until a configuration names it.
    pub(crate) fn index(&mut self, name: &str) -> WorkspaceIndex {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.accounts.len();
        self.accounts.push(Account { name: name.to_owned(), ..Account::default() });
        self.indices.insert(name.to_owned(), index);
        index
    }

    pub(crate) fn name(&self, index: WorkspaceIndex) -> Option<&WorkspaceName> {
        self.accounts.get(index).map(|account| &account.name)
    }

    /// Takes the limits of a configuration. A workspace that it lacks keeps its last one: its jobs go on.
    pub(crate) fn configure(&mut self, config: &Config) {
        for workspace in &config.workspaces {
            let index = self.index(&workspace.name);
            self.accounts[index].limit = workspace.limit;
        }
    }

    /// How many tasks of this need may be started now.
    pub(crate) fn tasks(&self, workspace: Option<WorkspaceIndex>, need: &Resources) -> usize {
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

    /// Counts tasks of this need as running.
    pub(crate) fn take(&mut self, workspace: Option<WorkspaceIndex>, need: &Resources, tasks: usize) {
        if let Some(account) = workspace.and_then(|index| self.accounts.get_mut(index)) {
            account.used = account.used.saturating_add(&need.saturating_mul(tasks));
        }
    }

    /// Counts a job as refused.
    pub(crate) fn count_refusal(&mut self, workspace: &str) {
        let index = self.index(workspace);
        self.accounts[index].refused += 1;
    }

    /// What runs and what may, for a workspace that has a limit: its use and the limit.
    pub(crate) fn usage_and_limit(&self, workspace: WorkspaceIndex) -> Option<(Resources, Resources)> {
        let account = self.accounts.get(workspace)?;
        (account.limit != Resources::ZERO).then_some((account.used, account.limit))
    }

    /// Why a job of a workspace can never run, if it can't.
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

    /// The log tells of a run.
    pub(crate) fn replay_run(&mut self, task: Task, attempt: Attempt, worker: &str, charge: Charge) {
        let runs = self.replayed.entry(task).or_default();
        let run = (worker.to_owned(), InheritedRun { task, attempt, charge });
        if !runs.contains(&run) {
            runs.push(run);
        }
    }

    /// The log tells that a task is done: by its newest run, as far as is known.
    pub(crate) fn replay_done(&mut self, task: Task) {
        if let Some(runs) = self.replayed.get_mut(&task) {
            let newest = runs.iter().map(|(_, run)| run.attempt).max();
            runs.retain(|(_, run)| Some(run.attempt) != newest);
        }
    }

    /// The log tells that a run has failed.
    pub(crate) fn replay_failed(&mut self, task: Task, attempt: Attempt) {
        if let Some(runs) = self.replayed.get_mut(&task) {
            runs.retain(|(_, run)| run.attempt != attempt);
        }
    }

    /// The log has been read: what it tells of counts until its workers have answered.
    pub(crate) fn replayed(&mut self) {
        for (worker, run) in std::mem::take(&mut self.replayed).into_values().flatten() {
            self.inherited.entry(worker).or_default().push(run);
        }
    }

    /// Records of what earlier leaders have placed of these jobs, for the next one.
    pub(crate) fn leftovers<'a>(&'a self, ids: &'a BTreeSet<JobId>) -> impl Iterator<Item = (JobId, Record)> + 'a {
        let runs = self.inherited.iter().flat_map(|(worker, runs)| runs.iter().map(move |run| (worker, run)));
        let wanted = runs.filter(|(_, run)| ids.contains(&run.task.unit.job));
        wanted.filter_map(|(worker, run)| {
            let record = self.leftover(worker, run.task, run.attempt, run.charge)?;
            Some((run.task.unit.job, record))
        })
    }

    /// The record of a run that may go on without its task waiting for it.
    pub(crate) fn leftover(&self, worker: &str, task: Task, attempt: Attempt, charge: Charge) -> Option<Record> {
        let workspace = self.name(charge.workspace)?.clone();
        Some(Record::Leftover { task, attempt, worker: worker.to_owned(), workspace, need: charge.need })
    }

    /// What an earlier leader placed on one life of a worker may run on the next one.
    pub(crate) fn hand_over(&mut self, id: &str, next: &str) {
        if let Some(runs) = self.inherited.remove(id) {
            self.inherited.entry(next.to_owned()).or_default().extend(runs);
        }
    }

    /// Counts anew what is used.
    fn recount(&mut self, workers: &BTreeMap<WorkerId, Worker>, open: impl Fn(&WorkerId) -> bool) {
        self.inherited.retain(|worker, _| open(worker));
        self.accounts.iter_mut().for_each(|account| account.used = Resources::ZERO);
        let runs = workers.values().flat_map(|worker| worker.runs.values().filter_map(|run| run.charge));
        let earlier = self.inherited.values().flatten().map(|run| run.charge);
        let charges: Vec<Charge> = runs.chain(earlier).collect();
        charges.into_iter().for_each(|charge| self.take(Some(charge.workspace), &charge.need, 1));
    }
}

impl Engine {
    /// Counts anew what each workspace uses, which costs little, rather than with each of the six changes that runs go through.
    pub(crate) fn recount_quota(&mut self) {
        if self.quota.accounts.is_empty() {
            return;
        }
        let (workers, departed, settled) = (&self.workers, &self.departed, self.settled);
        let open = |worker: &WorkerId| !settled && may_run_unseen(workers, departed, worker);
        self.quota.recount(workers, open);
    }

    /// Why a job of a workspace can never run within its limit, if it can't: it is refused.
    pub fn excess(&mut self, workspace: &str, job: &Job) -> Option<Excess> {
        let excess = self.quota.excess(workspace, job)?;
        self.quota.count_refusal(workspace);
        Some(excess)
    }

    /// How all workspaces stand, by name.
    pub fn workspaces(&mut self) -> Vec<Workspace> {
        self.recount_quota();
        let summary = |account: &Account| Workspace {
            name: account.name.clone(),
            limit: account.limit,
            used: account.used,
            live: 0,
            waiting: 0,
            refused: account.refused,
        };
        let mut found: Vec<Workspace> = self.quota.accounts.iter().map(summary).collect();
        let live = self.live.iter().filter_map(|id| self.jobs.get(id));
        for entry in live {
            let Some(workspace) = entry.workspace.and_then(|index| found.get_mut(index)) else { continue };
            workspace.live += 1;
            workspace.waiting += usize::from(self.waits(entry));
        }
        found.sort_by(|a, b| a.name.cmp(&b.name));
        found
    }

    /// Why the tasks of a step wait for their workspace's limit, if they do.
    pub(crate) fn quota_wait_reason(&self, entry: &Entry, step: &Step, pending: usize) -> Option<String> {
        let workspace = entry.workspace?;
        let least = if step.gang { pending } else { 1 };
        if self.quota.tasks(Some(workspace), &step.need) >= least {
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
    /// What a task of a step takes of its workspace's limit.
    pub(crate) fn charge(&self, step: u16) -> Option<Charge> {
        Some(Charge { workspace: self.workspace?, need: self.step(step)?.need })
    }
}

/// Whether something that an earlier leader has placed on a worker may run there without being listed yet.
pub(crate) fn may_run_unseen(
    workers: &BTreeMap<WorkerId, Worker>,
    departed: &BTreeSet<WorkerId>,
    worker: &WorkerId,
) -> bool {
    match workers.get(worker) {
        Some(known) => known.contact == Contact::Unknown,
        // Of a worker that the log doesn't name nothing is known either, unless it is known to be gone.
        None => !departed.contains(worker),
    }
}
