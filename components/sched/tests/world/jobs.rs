//! Random jobs that are submitted, cancelled, or withdrawn, and the workspaces that they may belong to.

use std::time::Duration;

use model::Resources;
use rand::Rng;
use sched::Owner;
use work::{Job, JobId, Step, Workspace};

use super::{World, config};

/// Names of the workspaces: the first one is limited in running cores, the second one in memory.
const WORKSPACES: [&str; 2] = ["cores", "memory"];

impl World {
    /// The same, with workspaces, whose limits hold at any moment.
    pub fn with_workspaces(seed: u64) -> World {
        let limits =
            [Resources { cpu_milli: 5000, ..Resources::ZERO }, Resources { memory_mib: 500, ..Resources::ZERO }];
        let workspace = |(name, limit): (&&str, Resources)| Workspace {
            name: (*name).to_owned(),
            keys: Vec::new(),
            weight: 1.0,
            limit,
        };
        World::with(seed, config().with_workspaces(WORKSPACES.iter().zip(limits).map(workspace).collect()))
    }

    pub(super) fn submit_random_job(&mut self) {
        let id = self.rng.random();
        let steps = (0..self.rng.random_range(1..3u16)).map(|number| self.random_step(number)).collect();
        let job = Job { specification: String::new(), steps, schedule: None };
        job.check().expect("a valid job");
        let queue = if self.rng.random_bool(0.5) { "open" } else { "advised" };
        if !self.config.workspaces.is_empty() {
            let workspace = WORKSPACES[self.rng.random_range(0..WORKSPACES.len())];
            if self.leader.engine.excess(workspace, &job).is_some() {
                return;
            }
            self.owners.insert(id, workspace);
        }
        self.leader.engine.accept(self.clock(), id, self.owner(id, queue), job.clone());
        self.jobs.insert(id, job);
    }

    fn owner(&self, id: JobId, queue: &str) -> Owner {
        Owner { workspace: self.owners.get(&id).map(|name| (*name).to_owned()), ..Owner::public(queue) }
    }

    fn random_step(&mut self, number: u16) -> Step {
        let step = Step {
            count: self.rng.random_range(1..4),
            need: Resources { cpu_milli: self.rng.random_range(500..4000), memory_mib: 100, accelerators: 0 },
            estimate: Duration::from_millis(500),
            after: (0..number).collect(),
            gang: self.rng.random_bool(0.4),
            ..Step::default()
        };
        if !self.large_tasks {
            return step;
        }
        let grown = if step.need.cpu_milli.is_multiple_of(8) { 4000 } else { 0 };
        Step { need: Resources { cpu_milli: step.need.cpu_milli + grown, ..step.need }, checkpoints: true, ..step }
    }

    pub(super) fn cancel_random_job(&mut self) {
        let open: Vec<JobId> = self.accepted.iter().filter(|id| !self.cancelled.contains_key(*id)).copied().collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.rng.random_range(0..open.len())];
        let clock = self.clock();
        self.leader.engine.cancel(clock, id);
    }

    /// Withdraws a job that isn't in the store yet, if there is one: it must never start. Every second one is
    /// accepted again at once.
    pub(super) fn withdraw_random_job(&mut self) {
        let open: Vec<JobId> = self.jobs.keys().filter(|id| !self.accepted.contains(id)).copied().collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.rng.random_range(0..open.len())];
        if self.leader.engine.withdraw(id) && id.is_multiple_of(2) {
            let job = self.jobs[&id].clone();
            let owner = self.owner(id, "open");
            self.leader.engine.accept(self.clock(), id, owner, job);
        }
    }
}
