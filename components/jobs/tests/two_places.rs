//! A task never runs in two places at once, whatever is lost, restarted or taken over, in any order.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use jobs::JobTracker;
use ledger::{Commit, Ledger, Limits};
use model::task::{Attempt, End, Id};
use model::workload::{Kind, Progress};
use model::{Reason, Resources};
use proptest::prelude::*;
use support::versioned;
use wire::{Fact, FactKey, StartOrder};
use worker::{AttemptReport, AttemptState, Command, Report};

const WORKERS: usize = 3;
const TASKS: u32 = 4;
const LIMITS: Limits = Limits { lease: Duration::from_secs(15), margin: Duration::from_secs(1) };

/// A worker with its holder's ledger.
struct Held {
    tasks: BTreeMap<(Id, Attempt), AttemptReport>,
    incarnation: u64,
    ledger: Ledger,
}

fn report(tasks: &BTreeMap<(Id, Attempt), AttemptReport>, incarnation: u64) -> Report {
    let capacity = Resources::new(16, 65536, 0);
    Report { incarnation, stamp_ms: 0, capacity, leaving: false, tasks: tasks.values().cloned().collect() }
}

impl Held {
    fn new(name: &str, now: Instant) -> Held {
        let tasks = BTreeMap::new();
        let ledger = Ledger::open(name.to_owned(), 1, report(&tasks, 1), LIMITS, now);
        Held { tasks, incarnation: 1, ledger }
    }

    fn carry_out(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt, resources, .. } => {
                    let fresh = || found(task, *attempt, *resources, AttemptState::Running { address: None });
                    self.tasks.entry((task.clone(), *attempt)).or_insert_with(fresh);
                }
                Command::Stop { task, attempt } => {
                    let stopped = || found(task, *attempt, Resources::ZERO, AttemptState::Ended { end: End::Stopped });
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
            let meant = id == task && attempt.is_none_or(|attempt| attempt == *number);
            if meant && !matches!(found.run, AttemptState::Ended { .. }) {
                found.run = AttemptState::Ended { end: end.clone() };
            }
        }
    }

    fn batch(&mut self, answered: bool, now: Instant) {
        let commands = self.ledger.commands(now);
        self.carry_out(&commands);
        if answered {
            self.ledger.batch_answered(&commands, report(&self.tasks, self.incarnation), now);
        }
    }

    fn take_over(&mut self, now: Instant) {
        let (name, epoch) = (self.ledger.worker().clone(), self.ledger.epoch() + 1);
        self.ledger = Ledger::open(name, epoch, report(&self.tasks, self.incarnation), LIMITS, now);
    }
}

fn found(task: &Id, attempt: Attempt, resources: Resources, run: AttemptState) -> AttemptReport {
    AttemptReport { task: task.clone(), attempt, resources, patient: false, run, unsaved_ms: 0, usage: None }
}

struct World {
    now: Instant,
    workers: Vec<Held>,
    tracker: JobTracker,
    stored_progress: Progress,
    started: u64,
}

impl World {
    fn new() -> World {
        let now = Instant::now();
        let workers = (0..WORKERS).map(|at| Held::new(&format!("w{at}"), now)).collect();
        let mut tracker = JobTracker::new(1, "gt-1".to_owned());
        tracker.set_worker_count(WORKERS);
        tracker.apply(versioned("plan", Kind::Batch, TASKS, 1), None, true, now);
        World { now, workers, tracker, stored_progress: Progress::default(), started: 0 }
    }

    fn order(&mut self, index: u32, at: usize, answered: bool) {
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
            Commit::Accepted => {
                self.started += 1;
                self.tracker.start_committed(&order.task, order.attempt, self.now);
            }
            Commit::Full(_) | Commit::Closed => {
                self.tracker.start_refused(&order.task, order.attempt, Reason::NoWorkers, self.now);
            }
        }
    }

    fn resend(&mut self) {
        self.now += Duration::from_secs(1);
        for order in self.tracker.overdue_orders(self.now) {
            let at = self.position(&order.worker);
            self.deliver(&order, at, true);
        }
    }

    fn position(&self, worker: &str) -> usize {
        self.workers.iter().position(|held| held.ledger.worker() == worker).expect("a known worker")
    }

    fn observe(&mut self) {
        for held in &self.workers {
            let facts: Vec<_> = held.ledger.task_facts().collect();
            for (key, fact) in facts {
                let (FactKey::Task(task, attempt), Fact::Task(fact)) = (key, fact) else { continue };
                self.tracker.observe(&task, attempt, &fact, false, self.now);
            }
        }
        self.compare();
    }

    /// What the node does with a holder's whole inventory.
    fn compare(&mut self) {
        let mut missing = Vec::new();
        for (task, attempt, worker) in self.tracker.possibly_live_attempts() {
            let held = &self.workers[self.position(worker)];
            let known = held.ledger.task_facts().any(|(key, _)| key == FactKey::Task(task.clone(), attempt));
            if !known && held.ledger.reachable() {
                missing.push((task, attempt));
            }
        }
        for (task, attempt) in missing {
            self.tracker.mark_lost(&task, attempt, self.now);
        }
    }

    fn settle(&mut self) {
        for (name, progress, ends) in self.tracker.unpersisted_ends() {
            self.stored_progress = progress;
            self.tracker.mark_persisted(&name, &ends);
        }
        for order in self.tracker.take_acknowledgements() {
            let at = self.position(&order.worker);
            self.workers[at].ledger.acknowledge(&order.task, order.attempt);
        }
        let orphans: Vec<_> = self.tracker.orphans().cloned().collect();
        for order in self.tracker.stop_orders(self.now).into_iter().chain(orphans) {
            let at = self.position(&order.worker);
            self.workers[at].ledger.stop(&order.task, order.attempt, self.now);
        }
    }

    /// A new owner reads the record, the progress and the inventories.
    fn new_owner(&mut self) {
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
                    prop_assert!(seen.insert(&found.task), "{} runs in two places", found.task);
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
        let mut world = World::new();
        for step in steps {
            match step {
                Step::Order(task, at, answered) => world.order(task, at, answered),
                Step::Resend => world.resend(),
                Step::Batch(at, answered) => { let now = world.now; world.workers[at].batch(answered, now) }
                Step::BatchLost(at) => { world.workers[at].ledger.commands(world.now); }
                Step::Observe => world.observe(),
                Step::Settle => world.settle(),
                Step::Finish(task, at) => {
                    let id = world.tracker.jobs()["plan"].id(task);
                    world.workers[at].end(&id, None, End::Finished);
                }
                Step::Restart(at) => {
                    world.workers[at].tasks.clear();
                    world.workers[at].incarnation += 1;
                }
                Step::TakeOver(at) => { let now = world.now; world.workers[at].take_over(now) }
                Step::NewOwner => world.new_owner(),
            }
            world.check()?;
        }
    }
}
