//! Property test: a task never runs on two workers at once, for any order of lost messages, worker restarts, takeovers
//! of workers and changes of the partition owner.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use jobs::JobTracker;
use ledger::{CommitResult, LeaseLimits, Ledger};
use model::task::{Attempt, End, Id};
use model::workload::{Kind, Progress};
use model::{Reason, Resources};
use proptest::prelude::*;
use support::versioned;
use wire::{Fact, FactKey, StartOrder};
use worker::{AttemptReport, AttemptState, Command, Report};

const WORKERS: usize = 3;
const TASKS: u32 = 4;
const LIMITS: LeaseLimits = LeaseLimits { lease: Duration::from_secs(15), margin: Duration::from_secs(1) };

/// A simulated worker, together with the ledger of its holder.
struct HeldWorker {
    tasks: BTreeMap<(Id, Attempt), AttemptReport>,
    incarnation: u64,
    ledger: Ledger,
}

fn report(tasks: &BTreeMap<(Id, Attempt), AttemptReport>, incarnation: u64) -> Report {
    let capacity = Resources::new(16, 65536, 0);
    Report { incarnation, stamp_ms: 0, capacity, leaving: false, tasks: tasks.values().cloned().collect() }
}

impl HeldWorker {
    fn new(name: &str, now: Instant) -> HeldWorker {
        let tasks = BTreeMap::new();
        let ledger = Ledger::open(name.to_owned(), 1, report(&tasks, 1), LIMITS, now);
        HeldWorker { tasks, incarnation: 1, ledger }
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt, resources, .. } => {
                    let running =
                        || attempt_report(task, *attempt, *resources, AttemptState::Running { address: None });
                    self.tasks.entry((task.clone(), *attempt)).or_insert_with(running);
                }
                Command::Stop { task, attempt } => {
                    let stopped =
                        || attempt_report(task, *attempt, Resources::ZERO, AttemptState::Ended { end: End::Stopped });
                    self.tasks.entry((task.clone(), *attempt)).or_insert_with(stopped);
                    self.end(task, Some(*attempt), End::Stopped);
                }
                Command::Acknowledge { task, attempt } => {
                    self.tasks.remove(&(task.clone(), *attempt));
                }
                Command::Throttle { .. } | Command::Checkpoint { .. } => {}
            }
        }
    }

    fn end(&mut self, task: &Id, attempt: Option<Attempt>, end: End) {
        for ((id, number), found) in &mut self.tasks {
            let matching = id == task && attempt.is_none_or(|attempt| attempt == *number);
            if matching && !matches!(found.run, AttemptState::Ended { .. }) {
                found.run = AttemptState::Ended { end: end.clone() };
            }
        }
    }

    fn send_batch(&mut self, answered: bool, now: Instant) {
        let commands = self.ledger.commands(now);
        self.execute(&commands);
        if answered {
            self.ledger.apply_batch_reply(&commands, report(&self.tasks, self.incarnation), now);
        }
    }

    fn take_over(&mut self, now: Instant) {
        let (name, epoch) = (self.ledger.worker().clone(), self.ledger.epoch() + 1);
        self.ledger = Ledger::open(name, epoch, report(&self.tasks, self.incarnation), LIMITS, now);
    }
}

fn attempt_report(task: &Id, attempt: Attempt, resources: Resources, run: AttemptState) -> AttemptReport {
    AttemptReport { task: task.clone(), attempt, resources, patient: false, run, unsaved_ms: 0, usage: None }
}

struct Simulation {
    now: Instant,
    workers: Vec<HeldWorker>,
    tracker: JobTracker,
    stored_progress: Progress,
    started: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let now = Instant::now();
        let workers = (0..WORKERS).map(|at| HeldWorker::new(&format!("w{at}"), now)).collect();
        let mut tracker = JobTracker::new(1, "gt-1".to_owned());
        tracker.set_worker_count(WORKERS);
        tracker.apply(versioned("plan", Kind::Batch, TASKS, 1), None, true, now);
        Simulation { now, workers, tracker, stored_progress: Progress::default(), started: 0 }
    }

    fn start_task(&mut self, index: u32, at: usize, answered: bool) {
        let name = self.workers[at].ledger.worker().clone();
        let Some(order) = self.tracker.create_start_order("plan", index, &name, self.now) else { return };
        self.deliver(&order, at, answered);
    }

    fn deliver(&mut self, order: &StartOrder, at: usize, answered: bool) {
        let commit = self.workers[at].ledger.commit(order, self.now);
        if !answered {
            return;
        }
        match commit {
            CommitResult::Accepted => {
                self.started += 1;
                self.tracker.start_committed(&order.task, order.attempt, self.now);
            }
            CommitResult::Full(_) | CommitResult::Closed => {
                self.tracker.start_refused(&order.task, order.attempt, Reason::NoWorkers, self.now);
            }
        }
    }

    fn resend(&mut self) {
        self.now += Duration::from_secs(1);
        for order in self.tracker.overdue_orders(self.now) {
            let at = self.worker_index(&order.worker);
            self.deliver(&order, at, true);
        }
    }

    fn worker_index(&self, worker: &str) -> usize {
        self.workers.iter().position(|held| held.ledger.worker() == worker).expect("the order names a simulated worker")
    }

    fn observe(&mut self) {
        for held in &self.workers {
            let facts: Vec<_> = held.ledger.task_facts().collect();
            for (key, fact) in facts {
                let (FactKey::Task(task, attempt), Fact::Task(fact)) = (key, fact) else { continue };
                self.tracker.observe(&task, attempt, &fact, false, self.now);
            }
        }
        self.mark_missing();
    }

    /// Marks attempts as lost that a reachable holder does not list. The node does the same with the complete inventory
    /// of a holder.
    fn mark_missing(&mut self) {
        let mut missing = Vec::new();
        for (task, attempt, worker) in self.tracker.possibly_live_attempts() {
            let held = &self.workers[self.worker_index(worker)];
            let known = held.ledger.task_facts().any(|(key, _)| key == FactKey::Task(task.clone(), attempt));
            if !known && held.ledger.reachable() {
                missing.push((task, attempt));
            }
        }
        for (task, attempt) in missing {
            self.tracker.mark_lost(&task, attempt, self.now);
        }
    }

    fn process_orders(&mut self) {
        for (name, progress, ends) in self.tracker.unpersisted_ends() {
            self.stored_progress = progress;
            self.tracker.mark_persisted(&name, &ends);
        }
        for order in self.tracker.take_acknowledgements() {
            let at = self.worker_index(&order.worker);
            self.workers[at].ledger.acknowledge(&order.task, order.attempt);
        }
        let orphans: Vec<_> = self.tracker.orphans().cloned().collect();
        for order in self.tracker.stop_orders(self.now).into_iter().chain(orphans) {
            let at = self.worker_index(&order.worker);
            self.workers[at].ledger.stop(&order.task, order.attempt, self.now);
        }
    }

    /// Replaces the owner by a new one, which reads the record, the stored progress and the inventories of all holders.
    fn change_owner(&mut self) {
        self.tracker = JobTracker::new(self.tracker.epoch() + 1, "gt-1".to_owned());
        self.tracker.set_worker_count(WORKERS);
        self.tracker.apply(versioned("plan", Kind::Batch, TASKS, 1), Some(&self.stored_progress), false, self.now);
        self.observe();
        self.tracker.finish_recovery(self.now);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let mut seen: BTreeSet<&Id> = BTreeSet::new();
        for held in &self.workers {
            for found in held.tasks.values() {
                if !matches!(found.run, AttemptState::Ended { .. }) {
                    prop_assert!(seen.insert(&found.task), "{} runs on two workers", found.task);
                }
            }
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
enum Step {
    Order(u32, usize, bool),
    Resend,
    Batch(usize, bool),
    BatchLost(usize),
    Observe,
    Settle,
    Finish(u32, usize),
    Restart(usize),
    TakeOver(usize),
    NewOwner,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..TASKS, 0..WORKERS, any::<bool>()).prop_map(|(task, at, answered)| Step::Order(task, at, answered)),
        2 => Just(Step::Resend),
        6 => (0..WORKERS, any::<bool>()).prop_map(|(at, answered)| Step::Batch(at, answered)),
        1 => (0..WORKERS).prop_map(Step::BatchLost),
        5 => Just(Step::Observe),
        3 => Just(Step::Settle),
        2 => (0..TASKS, 0..WORKERS).prop_map(|(task, at)| Step::Finish(task, at)),
        1 => (0..WORKERS).prop_map(Step::Restart),
        2 => (0..WORKERS).prop_map(Step::TakeOver),
        1 => Just(Step::NewOwner),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]
    #[test]
    fn no_task_runs_in_two_places(steps in prop::collection::vec(step(), 1..150)) {
        let mut simulation = Simulation::new();
        for step in steps {
            match step {
                Step::Order(task, at, answered) => simulation.start_task(task, at, answered),
                Step::Resend => simulation.resend(),
                Step::Batch(at, answered) => {
                    let now = simulation.now;
                    simulation.workers[at].send_batch(answered, now)
                }
                Step::BatchLost(at) => { simulation.workers[at].ledger.commands(simulation.now); }
                Step::Observe => simulation.observe(),
                Step::Settle => simulation.process_orders(),
                Step::Finish(task, at) => {
                    let id = simulation.tracker.jobs()["plan"].id(task);
                    simulation.workers[at].end(&id, None, End::Finished);
                }
                Step::Restart(at) => {
                    simulation.workers[at].tasks.clear();
                    simulation.workers[at].incarnation += 1;
                }
                Step::TakeOver(at) => { let now = simulation.now; simulation.workers[at].take_over(now) }
                Step::NewOwner => simulation.change_owner(),
            }
            simulation.check()?;
        }
    }
}
