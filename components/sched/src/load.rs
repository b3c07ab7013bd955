//! Snapshots of the load for admission control, and what a new job needs.

use std::collections::{BTreeMap, HashMap};

use admission::{Class, Demand, FirstStart, Load, Pool, Work};
use work::{Job, JobId, Queue, QueueName, Step, Task, Unit};

use crate::engine::{Clock, Engine, Owner};
use crate::entry::{Entry, StartState, UnitState};
use crate::questions::expected_cost;
use crate::rank::{Tier, critical_path, objective, value_limit};
use crate::reports::taken_room;

/// Upper bound on the first starts that are kept for the next snapshot, if none is taken.
const MAX_FIRST_STARTS: usize = 4096;

/// What the budgets have served in this term.
#[derive(Debug, Default)]
pub(crate) struct Served {
    /// Core-seconds of completed tasks by pool, by the callers' estimates.
    completed: HashMap<String, f64>,
    /// Time of hosts that asked the advice service.
    advice_seconds: f64,
    starts: u64,
    /// Number of jobs that have started, by queue and class.
    started_jobs: HashMap<QueueName, BTreeMap<Class, u64>>,
    first_starts: Vec<FirstStart>,
    /// Mean cores of a pool's workers, as of the last snapshot.
    worker_cores: HashMap<String, f64>,
}

impl Engine {
    /// Takes a snapshot of the load. The hosts that can ask the advice service aren't known here.
    pub fn load(&mut self, clock: Clock) -> Load {
        let pools = self.pools(clock);
        let first_starts = std::mem::take(&mut self.served.first_starts);
        let mut load = Load { at: clock.now, pools, queues: self.empty_queues(), first_starts, ..Load::default() };
        for entry in self.live.iter().filter_map(|id| self.jobs.get(id)) {
            self.add_waiting(clock, entry, &mut load.queues);
        }
        load.advice_seconds = self.served.advice_seconds;
        load.starts = self.served.starts;
        load.start_latency = self.start_latency.smoothed();
        load
    }

    /// What a new job needs; `None` if it has a schedule, which says when it waits, or an unknown queue.
    pub fn demand(&self, clock: Clock, owner: &Owner, job: &Job) -> Option<Demand> {
        let queue = self.queues.get(&owner.queue).filter(|_| job.schedule.is_none())?;
        Some(Demand {
            queue: owner.queue.clone(),
            workspace: owner.workspace.clone(),
            class: self.expected_class(clock, owner.workspace.as_ref(), queue),
            work: self.job_work(queue, job),
            critical_path: critical_path(job),
            objective: objective(job, queue),
            limit: value_limit(job, queue),
        })
    }

    /// Cores of all pools, on workers that may get work.
    fn pools(&mut self, clock: Clock) -> BTreeMap<String, Pool> {
        let mut pools: BTreeMap<String, (Pool, usize)> = BTreeMap::new();
        let extra_delays = self.extra_delays();
        for worker in self.workers.values().filter(|worker| worker.usable(clock.now, self.durable, extra_delays)) {
            if !pools.contains_key(&worker.info.pool) {
                pools.insert(worker.info.pool.clone(), Default::default());
            }
            let Some((pool, workers)) = pools.get_mut(&worker.info.pool) else { continue };
            pool.cores += cores(worker.info.capacity.cpu_milli);
            pool.busy += cores(worker.info.capacity.cpu_milli.saturating_sub(worker.free.cpu_milli));
            *workers += 1;
        }
        let mean = |(name, (pool, workers)): (&String, &(Pool, usize))| (name.clone(), pool.cores / *workers as f64);
        self.served.worker_cores = pools.iter().map(mean).collect();
        for (name, (pool, _)) in &mut pools {
            pool.completed = self.served.completed.get(name).copied().unwrap_or_default();
        }
        pools.into_iter().map(|(name, (pool, _))| (name, pool)).collect()
    }

    /// All queues, without waiting work.
    fn empty_queues(&self) -> BTreeMap<QueueName, admission::Queue> {
        let empty = |queue: &Queue| admission::Queue {
            pool: queue.pool.clone(),
            priority: queue.priority,
            lanes: Vec::new(),
            started: self.served.started_jobs.get(&queue.name).cloned().unwrap_or_default(),
        };
        self.queues.iter().map(|(name, queue)| (name.clone(), empty(queue))).collect()
    }

    /// Adds the waiting work of a job.
    fn add_waiting(&self, clock: Clock, entry: &Entry, queues: &mut BTreeMap<QueueName, admission::Queue>) {
        let Some(queue) = self.queues.get(&entry.queue) else { return };
        let mut rounds: BTreeMap<u32, Work> = BTreeMap::new();
        if entry.units.is_empty() && entry.job.schedule.is_none() {
            // It was accepted after the last pass, which opens its first round.
            rounds.insert(0, self.job_work(queue, &entry.job));
        }
        for ((round, step), unit) in entry.units.iter().filter(|(_, unit)| unit.pending > 0) {
            let Some(described) = entry.step(*step) else { continue };
            let open = entry.unblocked(*round, *step);
            *rounds.entry(*round).or_default() += self.unit_work(clock, queue, described, unit, open);
        }
        let Some(waiting) = queues.get_mut(&entry.queue) else { return };
        for (round, work) in rounds {
            match self.tier(clock, entry, queue, round) {
                Tier::OnTime => waiting.add(admission::Tier::OnTime, entry.class, work),
                Tier::Late => waiting.add(admission::Tier::Late, entry.class, work),
                Tier::Overdue => {}
            }
        }
    }

    /// All work of a job that hasn't started.
    fn job_work(&self, queue: &Queue, job: &Job) -> Work {
        let mut work = Work::default();
        for step in &job.steps {
            work += step_work(step, step.count as usize);
            work.advice_seconds += self.advice_seconds(queue, step, step.count as usize);
        }
        Work { cores: widest_step(job), ..work }
    }

    /// The waiting work of a unit. Tasks whose dependencies aren't done take no cores yet, and those with a ticket
    /// need no advice.
    fn unit_work(&self, clock: Clock, queue: &Queue, step: &Step, unit: &UnitState, open: bool) -> Work {
        let mut work = step_work(step, unit.pending);
        if !open {
            work.cores = 0.0;
        }
        if unit.advice.tickets(clock.now).next().is_none() {
            work.advice_seconds = self.advice_seconds(queue, step, unit.pending);
        }
        work
    }

    /// Time of hosts that the questions for this many tasks of a step take.
    fn advice_seconds(&self, queue: &Queue, step: &Step, tasks: usize) -> f64 {
        let Some(advice) = queue.advice else { return 0.0 };
        let worker = self.served.worker_cores.get(&queue.pool).copied().unwrap_or_default();
        let tasks_per_worker = (worker / cores(step.need.cpu_milli.max(1))).clamp(1.0, tasks.max(1) as f64);
        expected_cost(advice, self.shares.get(&queue.name), tasks, tasks_per_worker).as_secs_f64()
    }

    /// Counts a confirmed start.
    pub(crate) fn count_start(&mut self) {
        self.served.starts += 1;
    }

    /// Counts the first start of a job, unless an earlier one is known. Jobs that an earlier leader placed don't
    /// count: they didn't wait for this one.
    pub(crate) fn count_first_start(&mut self, clock: Clock, id: JobId) {
        let Some(entry) = self.jobs.get(&id).filter(|entry| entry.started == StartState::No) else { return };
        let waited = clock.now.saturating_sub(entry.accepted.now);
        *self.served.started_jobs.entry(entry.queue.clone()).or_default().entry(entry.class).or_default() += 1;
        if self.served.first_starts.len() < MAX_FIRST_STARTS {
            self.served.first_starts.push(FirstStart { job: id, waited });
        }
    }

    /// Counts tasks that were completed together.
    pub(crate) fn count_completed(&mut self, task: Task, tasks: usize) {
        let Some(entry) = self.jobs.get(&task.unit.job) else { return };
        let (Some(step), Some(queue)) = (entry.step(task.unit.step), self.queues.get(&entry.queue)) else { return };
        let done = step_work(step, tasks).core_seconds;
        *self.served.completed.entry(queue.pool.clone()).or_default() += done;
    }

    /// Counts a question to the advice service that has ended, answered or not, by its expected response time.
    pub(crate) fn count_advice(&mut self, unit: Unit, named: usize) {
        let queue = self.jobs.get(&unit.job).and_then(|entry| self.queues.get(&entry.queue));
        let Some(advice) = queue.and_then(|queue| queue.advice) else { return };
        self.served.advice_seconds += (advice.base + advice.per_worker * named as u32).as_secs_f64();
    }
}

/// What this many tasks of a step need, without advice.
fn step_work(step: &Step, tasks: usize) -> Work {
    let each = cores(taken_room(step).cpu_milli);
    let tasks = tasks as f64;
    let core_seconds = each * tasks * step.estimate.as_secs_f64();
    Work { cores: each * tasks, core_seconds, advice_seconds: 0.0, starts: tasks }
}

/// Cores of the step of a job that needs most of them: steps that follow each other don't run together.
fn widest_step(job: &Job) -> f64 {
    let needs = job.steps.iter().map(|step| cores(taken_room(step).cpu_milli) * f64::from(step.count));
    needs.fold(0.0, f64::max)
}

fn cores(milli: u32) -> f64 {
    f64::from(milli) / 1000.0
}
