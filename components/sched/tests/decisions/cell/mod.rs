//! A small simulated cell for tests of single decisions: an engine, its workers, and a log that is written at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use sched::{
    Action, Clock, End, Engine, Hosts, Limits, OrderOutcome, Owner, Question, Report, RunOutcome, Running, Start,
    WorkerInfo,
};
use work::{Advice, Config, Job, JobId, Queue, Record, Step, Term, WorkerId, Workspace};

pub struct Cell {
    pub engine: Engine,
    pub now: Duration,
    pub log: Vec<Record>,
    pub infos: BTreeMap<WorkerId, WorkerInfo>,
    /// Number of the last end that each worker has listed.
    pub end_numbers: BTreeMap<WorkerId, u64>,
}

impl Cell {
    /// A cell of `workers` workers with 16 cores each, all reachable.
    pub fn new(workers: usize) -> Cell {
        Cell::from_log(workers, 1, &[])
    }

    /// The cell of a leader that starts with this log.
    pub fn from_log(workers: usize, term: Term, log: &[Record]) -> Cell {
        Cell::create(Limits::example(), config(), workers, term, log)
    }

    /// Like [`Cell::from_log`], with other time limits.
    pub fn with_limits(limits: Limits, workers: usize, term: Term, log: &[Record]) -> Cell {
        Cell::create(limits, config(), workers, term, log)
    }

    /// Like [`Cell::from_log`], for a leader that doesn't know the configuration yet.
    pub fn unconfigured(workers: usize, term: Term, log: &[Record]) -> Cell {
        Cell::create(Limits::example(), Arc::new(Config::default()), workers, term, log)
    }

    /// A cell whose workspaces `small` and `large` are limited to 8 and 32 running cores.
    pub fn with_workspaces(workers: usize) -> Cell {
        Cell::with_workspaces_from_log(workers, 1, &[])
    }

    /// Like [`Cell::with_workspaces`], for a leader that starts with this log.
    pub fn with_workspaces_from_log(workers: usize, term: Term, log: &[Record]) -> Cell {
        Cell::create(Limits::example(), config_with_limit(1, 8), workers, term, log)
    }

    fn create(limits: Limits, config: Arc<Config>, workers: usize, term: Term, log: &[Record]) -> Cell {
        Cell::with_engine(Engine::new(limits, term, config, Duration::ZERO), workers, log)
    }

    /// A cell whose leader starts with this engine and log.
    pub fn with_engine(mut engine: Engine, workers: usize, log: &[Record]) -> Cell {
        let clock = Clock::default();
        log.iter().cloned().for_each(|record| engine.replay(clock, record));
        engine.finish_replay(clock);
        let infos = (0..workers).map(|number| (format!("w{number}"), info(number))).collect();
        Cell { engine, now: Duration::ZERO, log: log.to_vec(), infos, end_numbers: BTreeMap::new() }
    }

    pub fn clock(&self) -> Clock {
        Clock { now: self.now, wall: self.now }
    }

    /// Lists all workers and reports for each that nothing runs there.
    pub fn ready(mut self) -> Cell {
        self.engine.update_workers(self.clock(), self.infos.clone());
        self.write();
        let ids: Vec<WorkerId> = self.infos.keys().cloned().collect();
        ids.iter().for_each(|id| self.report(id, &[], &[]));
        self
    }

    /// Writes all pending records to the log.
    pub fn write(&mut self) {
        while self.engine.has_pending_records() {
            let (records, upto) = self.engine.take_records(1_000_000);
            self.log.extend(records);
            self.engine.mark_durable(self.clock(), upto);
        }
    }

    /// Rewrites the records of all workers, as when the parts of the log that name them are removed.
    pub fn rewrite_workers(&mut self) {
        let ids: Vec<WorkerId> = self.engine.addresses().into_iter().map(|(id, _)| id).collect();
        self.engine.rewrite_workers(ids);
    }

    pub fn report(&mut self, id: &str, running: &[Running], ended: &[End]) {
        let mark = self.engine.mark();
        let report = Report { mark, running: running.to_vec(), ended: ended.to_vec(), truncated: false };
        self.engine.report(self.clock(), id, report);
    }

    /// The worker lists these ends and as many as it can at once; there may be more.
    pub fn report_truncated(&mut self, id: &str, running: &[Running], ended: &[End]) {
        let mark = self.engine.mark();
        let report = Report { mark, running: running.to_vec(), ended: ended.to_vec(), truncated: true };
        self.engine.report(self.clock(), id, report);
    }

    /// Accepts a job and writes its record.
    pub fn submit(&mut self, id: JobId, queue: &str, steps: Vec<Step>) {
        self.submit_for(None, id, queue, steps);
    }

    /// Like [`Cell::submit`], for a workspace.
    pub fn submit_for(&mut self, workspace: Option<&str>, id: JobId, queue: &str, steps: Vec<Step>) {
        let job = Job { specification: "text".to_owned(), steps, schedule: None };
        let owner = Owner { queue: queue.to_owned(), workspace: workspace.map(str::to_owned) };
        self.engine.accept(self.clock(), id, owner, job);
        self.write();
    }

    /// Runs a planning pass, writes its records, and returns its actions.
    pub fn plan(&mut self) -> Vec<Action> {
        self.engine.plan(self.clock());
        self.write();
        self.engine.take_actions()
    }

    /// Runs a planning pass and returns only the starts.
    pub fn starts(&mut self) -> Vec<(WorkerId, Start)> {
        let starts = self.plan().into_iter().filter_map(|action| match action {
            Action::Start(worker, start) => Some((worker, start)),
            _ => None,
        });
        starts.collect()
    }

    pub fn confirm_start(&mut self, worker: &str, start: &Start) {
        self.engine.start_answered(self.clock(), worker, start.task, start.attempt, OrderOutcome::Started);
    }

    /// The worker lists the end of a run, while `others` still run there.
    pub fn end_beside(&mut self, worker: &str, start: &Start, outcome: RunOutcome, others: &[Running]) {
        let number = self.end_numbers.entry(worker.to_owned()).or_default();
        *number += 1;
        let end = End { number: *number, task: start.task, attempt: start.attempt, outcome, checkpoint: String::new() };
        self.report(worker, others, &[end]);
        self.write();
    }

    /// The worker lists the end of a run, and nothing else runs there.
    pub fn end(&mut self, worker: &str, start: &Start, outcome: RunOutcome) {
        self.end_beside(worker, start, outcome, &[]);
    }
}

/// The state of `all` hosts while `open` questions are asked, one on each host.
pub fn hosts<'a>(all: usize, open: impl Iterator<Item = &'a Question>) -> Hosts {
    let costs: Vec<Duration> = open.map(|question| question.cost).collect();
    let long = costs.iter().filter(|cost| sched::is_long(**cost)).count();
    Hosts { all, free: all.saturating_sub(costs.len()), long }
}

pub fn running(start: &Start) -> Running {
    Running { task: start.task, attempt: start.attempt, checkpoint: String::new(), percent: 10 }
}

/// A step of `count` tasks that need `cores` cores each.
pub fn step(count: u32, cores: u32) -> Step {
    Step { count, need: Resources::new(cores, 100, 0), estimate: Duration::from_secs(1), ..Step::default() }
}

fn info(number: usize) -> WorkerInfo {
    WorkerInfo {
        address: format!("10.0.0.{number}:80"),
        pool: "pool".to_owned(),
        zone: "zone".to_owned(),
        labels: vec!["kind".to_owned(), format!("rack-{}", number / 2)],
        capacity: Resources::new(16, 64_000, 0),
        draining: false,
        evacuated: false,
    }
}

/// Configuration `version`, in which workspace `small` is limited to `cores` running cores, and `large` to 32.
pub fn config_with_limit(version: u64, cores: u32) -> Arc<Config> {
    let workspace = |name: &str, cores| Workspace {
        name: name.to_owned(),
        keys: Vec::new(),
        weight: 1.0,
        limit: Resources::new(cores, 0, 0),
    };
    let config = Config::new(version, config().queues.clone(), 100_000);
    Arc::new(config.with_workspaces(vec![workspace("small", cores), workspace("large", 32)]))
}

/// The configuration of cells without workspaces.
pub fn config() -> Arc<Config> {
    let advice = |base, per_worker| Advice {
        base: Duration::from_millis(base),
        per_worker: Duration::from_micros(per_worker),
        validity: Duration::from_secs(2),
    };
    let queue = |name: &str, priority, advice| Queue {
        name: name.to_owned(),
        host: "queues.example".to_owned(),
        prefix: format!("/{name}/"),
        public: true,
        pool: "pool".to_owned(),
        priority,
        max_attempts: 2,
        stretch: 2.0,
        objective: Duration::from_secs(1),
        advice,
    };
    let queues = vec![
        queue("urgent", 0, None),
        queue("patient", 2, None),
        queue("advised", 1, Some(advice(500, 7_000))),
        queue("advised-urgent", 0, Some(advice(10, 130))),
        queue("advised-patient", 2, Some(advice(130, 1_800))),
    ];
    Arc::new(Config::new(1, queues, 100_000))
}
