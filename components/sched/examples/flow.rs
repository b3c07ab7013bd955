//! Measures the CPU time of the leader's decisions at a steady rate of jobs, by number of workers:
//! `cargo run --release -p sched --example flow`. Time is simulated; it prints the CPU time per simulated second.

mod cell;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sched::{
    Action, Clock, End, Engine, OrderOutcome, Owner, Question, Report, RunOutcome, Running, Start, WorkerInfo,
};
use work::{Advice, Job, JobId, Queue, WorkerId};

/// Numbers of workers in the measured cells.
const CELLS: [usize; 5] = [300, 1000, 3000, 6000, 12_000];
/// Simulated duration of a measurement in seconds.
const SECONDS: u64 = 10;
/// Time between two passes: the shortest that the leader uses.
const TICK: Duration = Duration::from_millis(2);
/// Number of jobs per second, and of tasks per job.
const JOBS_PER_SECOND: u64 = 140;
const TASKS_PER_JOB: u32 = 4;
/// Duration of a run.
const RUN_TIME: Duration = Duration::from_millis(1200);
/// Interval between reads of the list of workers; about that of the leader.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// A worker on which no run ends is renewed once in this many passes, that is once a second.
const RENEWAL_PASSES: usize = 500;
/// Milliseconds in which a run progresses by one percent.
const PERCENT_MS: u128 = 20;
/// One in this many of the workers that a question names may run a job.
const ALLOWED_INTERVAL: usize = 2;

/// CPU time by kind of call.
#[derive(Default)]
struct CpuTime {
    plan: Duration,
    report: Duration,
    list: Duration,
    advice: Duration,
    rest: Duration,
}

/// A worker's runs and when they end.
#[derive(Default)]
struct Worker {
    runs: Vec<(Start, Duration)>,
    /// Number of the last end.
    last_end: u64,
}

fn main() {
    println!("{JOBS_PER_SECOND} jobs of {TASKS_PER_JOB} tasks per second; ms of CPU time per second");
    println!("{:>8} {:>8} {:>8} {:>8} {:>8} {:>8}", "workers", "plan", "report", "list", "advice", "rest");
    for workers in CELLS {
        let cpu_time = Cell::new(workers).run_load();
        let ms = |time: Duration| time.as_secs_f64() * 1e3 / SECONDS as f64;
        let (plan, report, list) = (ms(cpu_time.plan), ms(cpu_time.report), ms(cpu_time.list));
        println!(
            "{workers:>8} {plan:>8.1} {report:>8.1} {list:>8.1} {:>8.1} {:>8.1}",
            ms(cpu_time.advice),
            ms(cpu_time.rest)
        );
    }
}

struct Cell {
    engine: Engine,
    clock: Clock,
    infos: BTreeMap<WorkerId, WorkerInfo>,
    workers: BTreeMap<WorkerId, Worker>,
    cpu_time: CpuTime,
}

/// Calls `work` and adds its duration to `sum`.
fn timed<T>(sum: &mut Duration, work: impl FnOnce() -> T) -> T {
    let started_at = Instant::now();
    let done = work();
    *sum += started_at.elapsed();
    done
}

impl Cell {
    fn new(count: usize) -> Cell {
        let clock = cell::start();
        let mut engine = cell::engine(vec![queue()]);
        let infos = cell::workers(count);
        engine.update_workers(clock, infos.clone());
        let workers = infos.keys().map(|id| (id.clone(), Worker::default())).collect();
        let mut cell = Cell { engine, clock, infos, workers, cpu_time: CpuTime::default() };
        cell.write();
        let ids: Vec<WorkerId> = cell.infos.keys().cloned().collect();
        ids.iter().for_each(|id| cell.renew(id));
        cell
    }

    /// Runs the load, and returns the CPU time that it took.
    fn run_load(mut self) -> CpuTime {
        self.cpu_time = CpuTime::default();
        let start_time = self.clock.now;
        let mut jobs: JobId = 0;
        let mut listed = start_time;
        while self.clock.now < start_time + Duration::from_secs(SECONDS) {
            let due = (self.clock.now - start_time).as_millis() as u64 * JOBS_PER_SECOND / 1000;
            (jobs + 1..=due).for_each(|id| self.accept(id));
            jobs = due;
            if self.clock.now - listed > LIST_INTERVAL {
                listed = self.clock.now;
                self.list();
            }
            self.renew_due();
            let clock = self.clock;
            timed(&mut self.cpu_time.plan, || self.engine.plan(clock));
            self.write();
            self.apply();
            self.clock.now += TICK;
        }
        self.cpu_time
    }

    fn accept(&mut self, id: JobId) {
        let clock = self.clock;
        timed(&mut self.cpu_time.rest, || self.engine.accept(clock, id, Owner::public("checks"), job()));
    }

    fn list(&mut self) {
        let (clock, infos) = (self.clock, self.infos.clone());
        timed(&mut self.cpu_time.list, || self.engine.update_workers(clock, infos));
    }

    /// Renews the workers on which a run has ended, and all others at fixed intervals.
    fn renew_due(&mut self) {
        let now = self.clock.now;
        let turn = (now.as_millis() / TICK.as_millis()) as usize % RENEWAL_PASSES;
        let due = |(number, (_, worker)): &(usize, (&WorkerId, &Worker))| {
            number % RENEWAL_PASSES == turn || worker.runs.iter().any(|(_, ends)| *ends <= now)
        };
        let ids: Vec<WorkerId> = self.workers.iter().enumerate().filter(due).map(|(_, (id, _))| id.clone()).collect();
        ids.iter().for_each(|id| self.renew(id));
    }

    /// Reports a worker's runs and the ends since its last report.
    fn renew(&mut self, id: &WorkerId) {
        let (mark, now) = (self.engine.mark(), self.clock.now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (over, running): (Vec<_>, Vec<_>) = worker.runs.drain(..).partition(|(_, ends)| *ends <= now);
        worker.runs = running;
        let ended = over.iter().map(|(start, _)| {
            worker.last_end += 1;
            End {
                number: worker.last_end,
                task: start.task,
                attempt: start.attempt,
                outcome: RunOutcome::Done,
                checkpoint: String::new(),
            }
        });
        let ended = ended.collect();
        let running = worker.runs.iter().map(|(start, _)| Running {
            task: start.task,
            attempt: start.attempt,
            checkpoint: String::new(),
            percent: (now.as_millis() / PERCENT_MS % 100) as u8,
        });
        let report = Report { mark, running: running.collect(), ended };
        let clock = self.clock;
        timed(&mut self.cpu_time.report, || self.engine.report(clock, id, report));
    }

    fn write(&mut self) {
        let clock = self.clock;
        timed(&mut self.cpu_time.rest, || cell::write(&mut self.engine, clock));
    }

    fn apply(&mut self) {
        for action in self.engine.take_actions() {
            match action {
                Action::Start(worker, start) => self.start(&worker, start),
                Action::Ask(question) => self.advise(&question),
                Action::Stop(..) | Action::Forget(_) => {}
            }
        }
    }

    /// Starts a run on a worker.
    fn start(&mut self, worker: &str, start: Start) {
        let clock = self.clock;
        let (task, attempt) = (start.task, start.attempt);
        if let Some(there) = self.workers.get_mut(worker) {
            there.runs.push((start, clock.now + RUN_TIME));
        }
        let ordered = || self.engine.start_answered(clock, worker, task, attempt, OrderOutcome::Started);
        timed(&mut self.cpu_time.rest, ordered);
    }

    /// Answers a question at once.
    fn advise(&mut self, question: &Question) {
        let healthy = question.workers.iter().step_by(ALLOWED_INTERVAL);
        let tickets = cell::tickets(healthy, self.clock.now + question.validity);
        timed(&mut self.cpu_time.advice, || self.engine.advice_received(question.unit, &question.workers, tickets));
    }
}

fn job() -> Job {
    cell::job(TASKS_PER_JOB, 2500, 5000, RUN_TIME)
}

fn queue() -> Queue {
    let advice = Advice {
        base: Duration::from_millis(7),
        per_worker: Duration::from_micros(100),
        validity: Duration::from_secs(2),
    };
    cell::queue("checks", Some(advice))
}
