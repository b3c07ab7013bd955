//! A simulated cell: workers, a log, leaders that replace each other, and a network that loses and delays.

mod checks;
mod crashes;
mod jobs;
mod leader;
mod lies;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sched::{Action, Clock, OrderOutcome, Report, RunOutcome, Start, Ticket};
use work::{
    Advice, Attempt, Config, Job, JobId, Outcome, Queue, Record, Task, Term, WorkerId, WorkerIncarnation, Workspace,
};

use crashes::Crashes;
use fakes::runner::{Reply, Run, Runner};
use leader::Leader;
use lies::Lies;

const STEP: Duration = Duration::from_millis(20);
const MAX_LEASE: Duration = Duration::from_secs(6);
const MAX_ATTEMPTS: u32 = 3;
/// Names of workspaces: the first may have so many cores running, the second so much memory.
const WORKSPACES: [&str; 2] = ["cores", "memory"];
/// Priority of a queue whose tasks may be stopped for others.
const PATIENT: u32 = 2;

/// A start that arrives later than its sender believes.
struct Late {
    sent: Duration,
    at: Duration,
    worker: WorkerId,
    term: Term,
    until: Duration,
    start: Start,
}

pub struct World {
    rng: StdRng,
    pub now: Duration,
    config: Arc<Config>,
    workers: BTreeMap<WorkerId, Runner>,
    log: Vec<Record>,
    leader: Leader,
    /// A leader that was replaced and doesn't know it yet.
    old: Option<Leader>,
    late: Vec<Late>,
    store_up: bool,
    jobs: BTreeMap<JobId, Job>,
    accepted: BTreeSet<JobId>,
    /// When the cancel of each was written.
    cancelled: BTreeMap<JobId, Duration>,
    done: BTreeSet<Task>,
    /// Tasks known as done, with the term that wrote it down.
    known_done: BTreeMap<Task, Term>,
    /// Runs of each task that are known as failed.
    failed: BTreeMap<Task, BTreeSet<Attempt>>,
    lives: u32,
    /// Whether some tasks are large, and all of them save.
    large: bool,
    /// Whose a job is, where workspaces have limits.
    owners: BTreeMap<JobId, &'static str>,
    /// Workers that went down under each task, whatever took them down.
    ended_under: BTreeMap<Task, u32>,
    /// The newest leader's term.
    newest: Term,
    /// What tasks that take workers down do, where there are such.
    crashes: Option<Crashes>,
    /// Whether a machine's worker keeps its name, and only its birth tells its lives apart.
    births: bool,
    /// How the list lies, where it does.
    lies: Option<Lies>,
}

impl World {
    pub fn new(seed: u64) -> World {
        World::with(seed, config())
    }

    fn with(seed: u64, config: Config) -> World {
        let config = Arc::new(config);
        let clock = Clock::default();
        let leader = Leader::new(clock, 1, config.clone(), &[]);
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            config,
            workers: BTreeMap::new(),
            log: Vec::new(),
            leader,
            old: None,
            late: Vec::new(),
            store_up: true,
            jobs: BTreeMap::new(),
            accepted: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            done: BTreeSet::new(),
            known_done: BTreeMap::new(),
            failed: BTreeMap::new(),
            lives: 0,
            large: false,
            owners: BTreeMap::new(),
            ended_under: BTreeMap::new(),
            newest: 1,
            crashes: None,
            births: false,
            lies: None,
        };
        for place in 0..4 {
            world.boot(place);
        }
        world
    }

    /// The same with workers that are back under their former names.
    pub fn with_births(mut self) -> World {
        self.births = true;
        (0..4).for_each(|place| self.boot(place));
        self
    }

    /// The same with some large tasks, for which others are stopped.
    pub fn with_large_tasks(seed: u64) -> World {
        let mut config = config();
        config.queues.iter_mut().filter(|queue| queue.advice.is_none()).for_each(|queue| queue.priority = PATIENT);
        World { large: true, ..World::with(seed, config) }
    }

    /// The same with workspaces, whose limits hold at any moment.
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

    fn clock(&self) -> Clock {
        Clock { now: self.now, wall: self.now }
    }

    /// A new life of the machine at `place`.
    fn boot(&mut self, place: usize) {
        self.lives += 1;
        let address = format!("10.0.0.{place}:80");
        let (before, others) =
            std::mem::take(&mut self.workers).into_iter().partition(|(_, worker)| worker.info.address == address);
        self.workers = others;
        let before: BTreeMap<WorkerId, Runner> = before;
        before.values().for_each(|worker| self.note_end(worker));
        let capacity = Resources { cpu_milli: 8000, memory_mib: 8000, accelerators: 0 };
        let born = u64::from(self.lives);
        let id = if self.births { format!("m{place}@{born}") } else { format!("life-{born}") };
        self.workers.insert(id, Runner::new(address, capacity));
    }

    /// One step of time, with trouble if there is to be any.
    pub fn step(&mut self, trouble: bool) {
        self.now += STEP;
        if trouble {
            self.trouble();
        } else {
            self.calm();
        }
        self.deliver_late();
        self.tick_workers();
        self.crash_workers();
        let leader = std::mem::replace(&mut self.leader, Leader::new(Clock::default(), 0, self.config.clone(), &[]));
        self.leader = self.run(leader, true, trouble).expect("the newest leader stays");
        if let Some(old) = self.old.take() {
            let term = old.term;
            self.old = self.run(old, false, trouble);
            if self.old.is_none() && term + 1 == self.leader.term {
                self.leader.engine.predecessor_ended(self.now);
            }
        }
        self.check();
    }

    fn trouble(&mut self) {
        if self.rng.random_bool(0.05) {
            self.submit();
        }
        if self.rng.random_bool(0.004) {
            self.cancel();
        }
        if self.rng.random_bool(0.02) {
            self.withdraw();
        }
        if self.rng.random_bool(0.004) {
            self.store_up = !self.store_up;
        }
        if self.rng.random_bool(0.003) && self.store_up {
            self.take_over();
        }
        if self.rng.random_bool(0.004) {
            self.cut_or_join();
        }
        if self.rng.random_bool(0.002) {
            let place = self.rng.random_range(0..4);
            self.boot(place);
        }
    }

    /// Cuts a worker off, or ends its cut. All may be down at the moment.
    fn cut_or_join(&mut self) {
        if self.workers.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.workers.len());
        if let Some(worker) = self.workers.values_mut().nth(place) {
            worker.reachable = !worker.reachable;
        }
    }

    fn calm(&mut self) {
        self.store_up = true;
        self.workers.values_mut().for_each(|worker| worker.reachable = true);
    }

    /// Another host leads from now on; the old leader learns of it later.
    fn take_over(&mut self) {
        let clock = self.clock();
        let next = Leader::new(clock, self.leader.term + 1, self.config.clone(), &self.log);
        self.newest = next.term;
        self.old = Some(std::mem::replace(&mut self.leader, next));
    }

    fn run(&mut self, mut leader: Leader, current: bool, trouble: bool) -> Option<Leader> {
        let clock = self.clock();
        if current && self.store_up {
            leader.confirmed = self.now;
            self.commit(&mut leader);
            let shown = self.shown(trouble);
            leader.engine.update_workers(clock, shown);
        }
        if !leader.authorized(self.now) {
            return current.then_some(leader);
        }
        if !self.hold_all(&mut leader) || !self.stop_all(&mut leader, trouble) {
            return current.then_some(leader);
        }
        leader.engine.plan(clock);
        for action in leader.actions() {
            match action {
                Action::Start(worker, start) => self.order(&mut leader, worker, start, trouble),
                Action::Ask(question) => {
                    let until = self.now + question.validity;
                    let good = question.workers.iter().filter(|id| self.advisable(id));
                    let tickets = good.map(|id| (id.clone(), Ticket { text: String::new(), until })).collect();
                    leader.engine.advice_received(question.unit, &question.workers, tickets);
                }
                Action::Stop(..) | Action::Forget(_) => unreachable!("kept by the leader"),
            }
        }
        Some(leader)
    }

    /// Whether the adviser lets a worker run anything. Where workers go down often, it goes by the machine: else most of the last ones
    /// may be of those that may not.
    fn advisable(&self, id: &str) -> bool {
        match self.crashes.is_some() || self.births {
            false => !id.ends_with('3'),
            true => !self.workers.get(id).is_some_and(|worker| worker.info.address.ends_with("3:80")),
        }
    }

    /// The life that an order for this one reaches, if any: orders name the worker only.
    fn reached(&self, id: &str) -> Option<WorkerId> {
        let same = |life: &&WorkerId| WorkerIncarnation::from_id(life).name == WorkerIncarnation::from_id(id).name;
        self.workers.keys().find(same).cloned()
    }

    fn commit(&mut self, leader: &mut Leader) {
        let (records, upto) = leader.engine.take_records(100_000);
        for record in &records {
            match record {
                Record::Accepted { id, .. } => {
                    self.accepted.insert(*id);
                }
                Record::Ended { id, outcome: Outcome::Cancelled, .. } => {
                    self.cancelled.entry(*id).or_insert(self.now);
                }
                Record::Failed { task, attempt } => {
                    self.failed.entry(*task).or_default().insert(*attempt);
                }
                Record::Done { task } => {
                    self.known_done.entry(*task).or_insert(leader.term);
                }
                _ => {}
            }
        }
        self.log.extend(records);
        leader.engine.mark_durable(self.clock(), upto);
        if self.rng.random_bool(0.01) {
            self.clean(leader);
        }
    }

    /// Removes the older half of the log, after what is still needed of it was written anew.
    fn clean(&mut self, leader: &mut Leader) {
        let newer = self.log.split_off(self.log.len() / 2);
        for record in std::mem::replace(&mut self.log, newer) {
            if let Some(id) = record.job() {
                leader.engine.rewrite([id]);
            }
            leader.engine.rewrite_workers(record.worker().cloned());
        }
        let (records, upto) = leader.engine.take_records(10_000_000);
        self.log.extend(records);
        leader.engine.mark_durable(self.clock(), upto);
    }

    /// Renews all leases. Whether no worker knows a newer leader.
    fn hold_all(&mut self, leader: &mut Leader) -> bool {
        let clock = self.clock();
        for (id, address) in leader.engine.addresses() {
            if leader.next_hold.get(&id).is_some_and(|next| *next > self.now) {
                continue;
            }
            let pause = self.rng.random_range(60..400);
            leader.next_hold.insert(id.clone(), self.now + Duration::from_millis(pause));
            if self.replaced(&id, &address) {
                leader.engine.worker_replaced(clock, &id, None);
                continue;
            }
            let lease = leader.leases.entry(id.clone()).or_default();
            let until = lease.expiry(self.now, MAX_LEASE);
            let (mark, acked) = (leader.engine.mark(), leader.engine.acked(&id));
            let life = self.reached(&id);
            let reached = life.as_ref().and_then(|life| self.workers.get_mut(life)).filter(|worker| worker.reachable);
            let Some(worker) = reached else {
                if lease.is_expired(self.now) {
                    leader.engine.leases_expired(clock, &id);
                }
                continue;
            };
            if let Some(until) = until {
                lease.grant(until);
            }
            let other = life.filter(|life| *life != id);
            // After the silence of a worker that has started again nothing is acknowledged, and its leases are cut to the longest.
            let (acked, until) = match other.is_some() {
                true => (0, until.map(|until| until.min(self.now + MAX_LEASE))),
                false => (acked, until),
            };
            match worker.renew(leader.term, until, acked) {
                Ok(_) if other.is_some() => leader.engine.worker_replaced(clock, &id, other),
                Ok((running, ended)) => {
                    lease.observe_clock(self.now, self.now, MAX_LEASE);
                    leader.engine.report(clock, &id, Report { mark, running, ended });
                }
                Err(_) => return false,
            }
        }
        true
    }

    fn stop_all(&mut self, leader: &mut Leader, trouble: bool) -> bool {
        for (id, task, attempt) in std::mem::take(&mut leader.stops) {
            let life = self.reached(&id);
            let reached = life.and_then(|life| self.workers.get_mut(&life)).filter(|worker| worker.reachable);
            let lost = trouble && self.rng.random_bool(0.2);
            match reached.map(|worker| worker.stop(leader.term, task, attempt)) {
                Some(Reply::Fenced) => return false,
                Some(_) if !lost => leader.engine.stop_accepted(&id, task, attempt),
                _ => leader.stops.push((id, task, attempt)),
            }
        }
        true
    }

    fn order(&mut self, leader: &mut Leader, id: WorkerId, start: Start, trouble: bool) {
        let clock = self.clock();
        let until = leader.leases.get(&id).and_then(|lease| lease.expiry(self.now, MAX_LEASE));
        let (task, attempt) = (start.task, start.attempt);
        let life = self.reached(&id);
        let reachable = life.and_then(|life| self.workers.get(&life)).is_some_and(|worker| worker.reachable);
        let (Some(until), true) = (until, reachable) else {
            leader.engine.start_answered(clock, &id, task, attempt, OrderOutcome::Refused);
            return;
        };
        if let Some(lease) = leader.leases.get_mut(&id) {
            lease.grant(until);
        }
        if trouble && self.rng.random_bool(0.1) {
            let delay = Duration::from_millis(self.rng.random_range(0..12_000));
            self.late.push(Late {
                sent: self.now,
                at: self.now + delay,
                worker: self.reached(&id).expect("it is reachable"),
                term: leader.term,
                until,
                start,
            });
            leader.engine.start_answered(clock, &id, task, attempt, OrderOutcome::Unknown);
            return;
        }
        let outcome = match self.arrive(self.now, &id, leader.term, until, &start) {
            Reply::Done if trouble && self.rng.random_bool(0.05) => OrderOutcome::Unknown,
            Reply::Done => OrderOutcome::Started,
            Reply::Fenced | Reply::Refused => OrderOutcome::Refused,
        };
        leader.engine.start_answered(clock, &id, task, attempt, outcome);
    }

    /// A start that was sent at this time reaches its worker.
    fn arrive(&mut self, sent: Duration, id: &str, term: Term, until: Duration, start: &Start) -> Reply {
        let job = self.jobs.get(&start.task.unit.job).expect("only jobs that were submitted").clone();
        let step = &job.steps[usize::from(start.task.unit.step)];
        let ends = self.now + Duration::from_millis(self.rng.random_range(100..3000));
        let how = if self.rng.random_bool(0.1) { RunOutcome::Failed } else { RunOutcome::Done };
        let run = Run { need: step.need, ends_at: ends, outcome: how };
        let key = (start.task, start.attempt);
        let Some(life) = self.reached(id) else { return Reply::Refused };
        let Some(worker) = self.workers.get_mut(&life) else { return Reply::Refused };
        let known = worker.runs.contains_key(&key);
        let reply = worker.start(self.now, term, until, key, run);
        if reply == Reply::Done && !known {
            self.check_start(sent, term, start, &job);
            self.bring_down(&life, term, start.task);
        }
        reply
    }

    fn deliver_late(&mut self) {
        let (due, later) = std::mem::take(&mut self.late).into_iter().partition(|late| late.at <= self.now);
        self.late = later;
        let due: Vec<Late> = due;
        for late in due {
            // A life that is over has taken along what it had left unanswered.
            if self.workers.contains_key(&late.worker) {
                self.arrive(late.sent, &late.worker, late.term, late.until, &late.start);
            }
        }
    }

    fn tick_workers(&mut self) {
        let now = self.now;
        let ended: Vec<(Task, Attempt, RunOutcome)> =
            self.workers.values_mut().flat_map(|worker| worker.tick(now)).collect();
        for (task, _, how) in ended {
            if how == RunOutcome::Done {
                self.done.insert(task);
            }
        }
    }
}

fn config() -> Config {
    let queue = |name: &str, advice| Queue {
        name: name.to_owned(),
        host: "host".to_owned(),
        prefix: format!("/{name}/"),
        public: true,
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        stretch: 2.0,
        objective: Duration::from_secs(1),
        advice,
    };
    let advice = Advice {
        base: Duration::from_millis(5),
        per_worker: Duration::from_millis(1),
        validity: Duration::from_millis(1500),
    };
    Config::new(1, vec![queue("open", None), queue("advised", Some(advice))], 1000)
}
