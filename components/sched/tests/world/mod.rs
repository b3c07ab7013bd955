//! A simulated cell: workers, a log, leaders that replace each other, and a network that loses and delays messages.

mod checks;
mod crashes;
mod jobs;
mod late_starts;
mod leader;
mod list_faults;
mod own_clocks;
mod short_lists;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::Resources;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sched::{Action, Clock, Limits, OrderOutcome, Report, RunOutcome, Start, Ticket};
use work::{Advice, Attempt, Config, Job, JobId, Outcome, Queue, Record, Task, Term, WorkerId, WorkerIncarnation};

use crashes::Crashes;
use fakes::runner::{Reply, Run, Runner};
use late_starts::DelayedStart;
use leader::Leader;
use list_faults::ListFaults;
use short_lists::check_acknowledgement;

const STEP: Duration = Duration::from_millis(20);
const MAX_ATTEMPTS: u32 = 3;
/// Priority of a queue whose tasks may be preempted.
const PREEMPTIBLE_PRIORITY: u32 = 2;

pub struct World {
    rng: StdRng,
    pub now: Duration,
    config: Arc<Config>,
    workers: BTreeMap<WorkerId, Runner>,
    log: Vec<Record>,
    leader: Leader,
    /// A leader that was replaced and doesn't know it yet.
    previous_leader: Option<Leader>,
    delayed_starts: Vec<DelayedStart>,
    store_up: bool,
    jobs: BTreeMap<JobId, Job>,
    accepted: BTreeSet<JobId>,
    /// When the cancellation of each job was written.
    cancelled: BTreeMap<JobId, Duration>,
    done: BTreeSet<Task>,
    /// Tasks that are known to be done, with the term of the leader that recorded it.
    known_done: BTreeMap<Task, Term>,
    /// Runs of each task that are known to have failed.
    failed: BTreeMap<Task, BTreeSet<Attempt>>,
    /// Number of worker incarnations so far.
    incarnations: u32,
    /// Whether some tasks are large, and all tasks write checkpoints.
    large_tasks: bool,
    /// The workspace of each job, if workspaces have limits.
    owners: BTreeMap<JobId, &'static str>,
    /// Number of workers that ended while each task ran there, for any reason.
    ended_under: BTreeMap<Task, u32>,
    /// Term of the newest leader.
    newest_term: Term,
    /// State of tasks that crash workers, if there are any.
    crashes: Option<Crashes>,
    /// Whether a machine's worker keeps its name, so that only the birth distinguishes its incarnations.
    stable_names: bool,
    /// Faults of the list of workers, if it has any.
    list_faults: Option<ListFaults>,
    /// Most ends that a worker lists at once, if the limit is a small one.
    max_listed_ends: Option<usize>,
    /// Time limits of the cell.
    limits: Limits,
    /// When each incarnation was booted, if its clock begins then; otherwise all clocks show the same time.
    boots: Option<BTreeMap<WorkerId, Duration>>,
    /// A machine whose worker has just restarted, and when it is cut off while another host becomes the leader.
    cut_after_restart: Option<(usize, Duration)>,
    /// Starts of tasks that had ended as done: the worker that is still to have that end acknowledged, and its number.
    repeated: Vec<(WorkerId, u64, Task)>,
    /// By worker, the highest number of an end whose task may be started again since its leases have expired.
    excused: BTreeMap<WorkerId, u64>,
}

impl World {
    pub fn new(seed: u64) -> World {
        World::with(seed, config())
    }

    fn with(seed: u64, config: Config) -> World {
        let config = Arc::new(config);
        let clock = Clock::default();
        let limits = Limits::example();
        let leader = Leader::new(limits, clock, 1, config.clone(), &[]);
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            config,
            workers: BTreeMap::new(),
            log: Vec::new(),
            leader,
            previous_leader: None,
            delayed_starts: Vec::new(),
            store_up: true,
            jobs: BTreeMap::new(),
            accepted: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            done: BTreeSet::new(),
            known_done: BTreeMap::new(),
            failed: BTreeMap::new(),
            incarnations: 0,
            large_tasks: false,
            owners: BTreeMap::new(),
            ended_under: BTreeMap::new(),
            newest_term: 1,
            crashes: None,
            stable_names: false,
            list_faults: None,
            max_listed_ends: None,
            limits,
            boots: None,
            cut_after_restart: None,
            repeated: Vec::new(),
            excused: BTreeMap::new(),
        };
        for place in 0..4 {
            world.boot(place);
        }
        world
    }

    /// The same, with workers that restart under their names.
    pub fn with_stable_names(mut self) -> World {
        self.stable_names = true;
        (0..4).for_each(|place| self.boot(place));
        self
    }

    /// The same, with some large tasks, for which other tasks are preempted.
    pub fn with_large_tasks(seed: u64) -> World {
        let mut config = config();
        config
            .queues
            .iter_mut()
            .filter(|queue| queue.advice.is_none())
            .for_each(|queue| queue.priority = PREEMPTIBLE_PRIORITY);
        World { large_tasks: true, ..World::with(seed, config) }
    }

    fn clock(&self) -> Clock {
        Clock { now: self.now, wall: self.now }
    }

    /// Starts a new incarnation of the worker on machine `place`.
    fn boot(&mut self, place: usize) {
        self.incarnations += 1;
        let address = format!("10.0.0.{place}:80");
        let (before, others) =
            std::mem::take(&mut self.workers).into_iter().partition(|(_, worker)| worker.info.address == address);
        self.workers = others;
        let before: BTreeMap<WorkerId, Runner> = before;
        before.values().for_each(|worker| self.count_worker_end(worker));
        let capacity = Resources { cpu_milli: 8000, memory_mib: 8000, accelerators: 0 };
        let born = u64::from(self.incarnations);
        let id = if self.stable_names { format!("m{place}@{born}") } else { format!("life-{born}") };
        let runner = Runner::new(address, capacity);
        if let Some(boots) = &mut self.boots {
            boots.insert(id.clone(), self.now);
        }
        let max_listed_ends = self.max_listed_ends.unwrap_or(runner.max_listed_ends);
        self.workers.insert(id, Runner { max_listed_ends, ..runner });
    }

    /// Simulates one time step, with random faults if `with_faults` is set.
    pub fn step(&mut self, with_faults: bool) {
        self.now += STEP;
        if with_faults {
            self.inject_faults();
        } else {
            self.end_faults();
        }
        self.deliver_delayed_starts();
        self.tick_workers();
        self.crash_workers();
        self.excuse_expired_ends();
        let leader = std::mem::replace(
            &mut self.leader,
            Leader::new(self.limits, Clock::default(), 0, self.config.clone(), &[]),
        );
        self.leader = self.run(leader, true, with_faults).expect("the newest leader isn't dropped");
        if let Some(previous_leader) = self.previous_leader.take() {
            let term = previous_leader.term;
            self.previous_leader = self.run(previous_leader, false, with_faults);
            if self.previous_leader.is_none() && term + 1 == self.leader.term {
                self.leader.engine.predecessor_ended(self.now);
            }
        }
        self.check();
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.05) {
            self.submit_random_job();
        }
        if self.rng.random_bool(0.004) {
            self.cancel_random_job();
        }
        if self.rng.random_bool(0.02) {
            self.withdraw_random_job();
        }
        if self.rng.random_bool(0.004) {
            self.store_up = !self.store_up;
        }
        if self.rng.random_bool(0.003) && self.store_up {
            self.take_over();
        }
        if self.boots.is_some() {
            self.cut_restarted_worker();
        }
        if self.rng.random_bool(0.004) {
            self.toggle_reachability();
        }
        if self.rng.random_bool(0.002) {
            let place = self.rng.random_range(0..4);
            self.boot(place);
        }
    }

    /// Makes a worker unreachable, or reachable again. All workers may be down at the moment.
    fn toggle_reachability(&mut self) {
        if self.workers.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.workers.len());
        if let Some(worker) = self.workers.values_mut().nth(place) {
            worker.reachable = !worker.reachable;
        }
    }

    fn end_faults(&mut self) {
        self.store_up = true;
        self.workers.values_mut().for_each(|worker| worker.reachable = true);
    }

    /// Another host becomes the leader; the previous leader learns of it later.
    fn take_over(&mut self) {
        let clock = self.clock();
        let mut next = Leader::new(self.limits, clock, self.leader.term + 1, self.config.clone(), &self.log);
        next.engine.set_predecessor_leases(self.limits.replaced_lapse_time(Duration::ZERO));
        self.newest_term = next.term;
        self.previous_leader = Some(std::mem::replace(&mut self.leader, next));
    }

    fn run(&mut self, mut leader: Leader, current: bool, with_faults: bool) -> Option<Leader> {
        let clock = self.clock();
        if current && self.store_up {
            leader.confirmed = self.now;
            self.commit(&mut leader);
            let visible_list = self.visible_list(with_faults);
            leader.engine.update_workers(clock, visible_list);
        }
        if !leader.is_authorized(self.now) {
            return current.then_some(leader);
        }
        if !self.renew_all(&mut leader) || !self.stop_all(&mut leader, with_faults) {
            return current.then_some(leader);
        }
        leader.engine.plan(clock);
        for action in leader.take_actions() {
            match action {
                Action::Start(worker, start) => self.order(&mut leader, worker, start, with_faults),
                Action::Ask(question) => {
                    let until = self.now + question.validity;
                    let allowed = question.workers.iter().filter(|id| self.is_allowed(id));
                    let tickets = allowed.map(|id| (id.clone(), Ticket { text: String::new(), until })).collect();
                    leader.engine.advice_received(question.unit, &question.workers, tickets);
                }
                Action::Stop(..) | Action::Forget(_) => unreachable!("handled by the leader"),
            }
        }
        Some(leader)
    }

    /// The incarnation that an order for this one reaches, if any: orders name only the worker.
    fn receiving_incarnation(&self, id: &str) -> Option<WorkerId> {
        let same = |other: &&WorkerId| WorkerIncarnation::from_id(other).name == WorkerIncarnation::from_id(id).name;
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
            self.compact_log(leader);
        }
    }

    /// Removes the older half of the log after rewriting what is still needed of it.
    fn compact_log(&mut self, leader: &mut Leader) {
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

    /// Renews all leases, and returns whether no worker knows a newer leader.
    fn renew_all(&mut self, leader: &mut Leader) -> bool {
        let clock = self.clock();
        let grantable = leader.grantable_lease(self.now);
        for (id, address) in leader.engine.addresses() {
            if leader.next_renewal.get(&id).is_some_and(|next| *next > self.now) {
                continue;
            }
            let pause = self.rng.random_range(60..400);
            leader.next_renewal.insert(id.clone(), self.now + Duration::from_millis(pause));
            if self.is_replaced(&id, &address) {
                leader.engine.worker_replaced(clock, &id, None);
                continue;
            }
            let lease = leader.leases.entry(id.clone()).or_default();
            let until = lease.expiry(self.now, grantable);
            let (mark, acked) = (leader.engine.mark(), leader.engine.acked(&id));
            let incarnation = self.receiving_incarnation(&id);
            let lease_end = |incarnation: &WorkerId| Some(self.lease_end(incarnation, until?));
            let lease_end = incarnation.as_ref().and_then(lease_end);
            let clock_start = self.clock_start(&id);
            let reached = incarnation
                .as_ref()
                .and_then(|incarnation| self.workers.get_mut(incarnation))
                .filter(|worker| worker.reachable);
            let Some(worker) = reached else {
                if lease.is_expired(self.now) {
                    leader.engine.leases_expired(clock, &id);
                }
                continue;
            };
            if let Some(until) = until {
                lease.grant(until);
            }
            let other = incarnation.clone().filter(|incarnation| *incarnation != id);
            // After the silence of a restarted worker nothing is acknowledged.
            let acked = if other.is_some() { 0 } else { acked };
            if let Some(incarnation) = &incarnation {
                check_acknowledgement(&self.repeated, incarnation, acked);
            }
            match worker.renew(leader.term, lease_end, acked) {
                Ok(_) if other.is_some() => leader.engine.worker_replaced(clock, &id, other),
                Ok((running, ended)) => {
                    let follows = leader.engine.follows_earlier_incarnation(&id);
                    let inherited = self.limits.predecessor_lease(!follows);
                    lease.observe_clock(self.now - clock_start, self.now, inherited);
                    let truncated = worker.is_truncated(ended.len());
                    leader.engine.report(clock, &id, Report { mark, running, ended, truncated });
                }
                Err(_) => return false,
            }
        }
        true
    }

    fn stop_all(&mut self, leader: &mut Leader, with_faults: bool) -> bool {
        for (id, task, attempt) in std::mem::take(&mut leader.stops) {
            let incarnation = self.receiving_incarnation(&id);
            let reached = incarnation
                .and_then(|incarnation| self.workers.get_mut(&incarnation))
                .filter(|worker| worker.reachable);
            let lost = with_faults && self.rng.random_bool(0.2);
            match reached.map(|worker| worker.stop(leader.term, task, attempt)) {
                Some(Reply::Fenced) => return false,
                Some(_) if !lost => leader.engine.stop_accepted(&id, task, attempt),
                _ => leader.stops.push((id, task, attempt)),
            }
        }
        true
    }

    fn order(&mut self, leader: &mut Leader, id: WorkerId, start: Start, with_faults: bool) {
        let clock = self.clock();
        let grantable = leader.grantable_lease(self.now);
        let until = leader.leases.get(&id).and_then(|lease| lease.expiry(self.now, grantable));
        let (task, attempt) = (start.task, start.attempt);
        let incarnation = self.receiving_incarnation(&id);
        let reachable =
            incarnation.and_then(|incarnation| self.workers.get(&incarnation)).is_some_and(|worker| worker.reachable);
        let (Some(until), true) = (until, reachable) else {
            leader.engine.start_answered(clock, &id, task, attempt, OrderOutcome::Refused);
            return;
        };
        if let Some(lease) = leader.leases.get_mut(&id) {
            lease.grant(until);
        }
        if with_faults && self.rng.random_bool(0.1) {
            let delay = Duration::from_millis(self.rng.random_range(0..12_000));
            self.delayed_starts.push(DelayedStart {
                sent: self.now,
                at: self.now + delay,
                worker: self.receiving_incarnation(&id).expect("a reachable worker"),
                term: leader.term,
                until,
                start,
            });
            leader.engine.start_answered(clock, &id, task, attempt, OrderOutcome::Unknown);
            return;
        }
        let outcome = match self.deliver_start(self.now, &id, leader.term, until, &start) {
            Reply::Done if with_faults && self.rng.random_bool(0.05) => OrderOutcome::Unknown,
            Reply::Done => OrderOutcome::Started,
            Reply::Fenced | Reply::Refused => OrderOutcome::Refused,
        };
        leader.engine.start_answered(clock, &id, task, attempt, outcome);
    }

    /// Delivers a start, sent at time `sent`, to its worker.
    fn deliver_start(&mut self, sent: Duration, id: &str, term: Term, until: Duration, start: &Start) -> Reply {
        let job = self.jobs.get(&start.task.unit.job).expect("a submitted job").clone();
        let step = &job.steps[usize::from(start.task.unit.step)];
        // Only tasks that last for longer than a lease show that one was taken for expired too early. The members of a gang
        // would end together.
        let long = self.boots.is_some() && !step.gang && self.rng.random_bool(0.2);
        let ends =
            self.now + Duration::from_millis(self.rng.random_range(if long { 10_000..20_000 } else { 100..3000 }));
        let how = if self.rng.random_bool(0.1) { RunOutcome::Failed } else { RunOutcome::Done };
        let run = Run { need: step.need, ends_at: ends, outcome: how };
        let key = (start.task, start.attempt);
        let Some(incarnation) = self.receiving_incarnation(id) else { return Reply::Refused };
        let lease_end = self.lease_end(&incarnation, until);
        let Some(worker) = self.workers.get_mut(&incarnation) else { return Reply::Refused };
        let known = worker.runs.contains_key(&key);
        let reply = worker.start(self.now, term, lease_end, key, run);
        if reply == Reply::Done && !known {
            self.check_start(sent, term, start, &job);
            self.note_repeated(start.task);
            self.schedule_crash(&incarnation, term, start.task);
        }
        reply
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
        public: false,
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
