//! Measures what a steady flow of jobs costs the leader's decisions, by the number of workers:
//! `cargo run --release -p sched --example flow`. Time is virtual; what is printed is the processor's time for a second of it.

mod cell;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sched::{
    Action, Clock, End, Engine, OrderOutcome, Owner, Question, Report, RunOutcome, Running, Start, WorkerInfo,
};
use work::{Advice, Job, JobId, Queue, WorkerId};

/// Workers of the cells that are measured.
const CELLS: [usize; 5] = [300, 1000, 3000, 6000, 12_000];
/// Virtual time of a measurement.
const SECONDS: u64 = 10;
/// Time between two passes: the leader's shortest.
const TICK: Duration = Duration::from_millis(2);
/// Jobs a second, and their tasks.
const JOBS_A_SECOND: u64 = 140;
const WIDTH: u32 = 4;
/// How long a run takes.
const TAKES: Duration = Duration::from_millis(1200);
/// How often the list of workers is read: about as often as the leader does.
const LIST: Duration = Duration::from_millis(500);
/// A worker on which nothing ends is renewed once in so many passes: once a second.
const RENEWAL_PASSES: usize = 500;
/// A run's progress rises by a hundredth in this many milliseconds.
const PERCENT_MS: u128 = 20;
/// One in so many of the workers that the adviser is asked about may run a job.
const ALLOWED: usize = 2;

/// Processor time of each kind of call.
#[derive(Default)]
struct Spent {
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
    ends: u64,
}

fn main() {
    println!("{JOBS_A_SECOND} jobs of {WIDTH} tasks a second; ms of processor time a second");
    println!("{:>8} {:>8} {:>8} {:>8} {:>8} {:>8}", "workers", "plan", "report", "list", "advice", "rest");
    for workers in CELLS {
        let spent = Cell::new(workers).flow();
        let ms = |time: Duration| time.as_secs_f64() * 1e3 / SECONDS as f64;
        let (plan, report, list) = (ms(spent.plan), ms(spent.report), ms(spent.list));
        println!(
            "{workers:>8} {plan:>8.1} {report:>8.1} {list:>8.1} {:>8.1} {:>8.1}",
            ms(spent.advice),
            ms(spent.rest)
        );
    }
}

struct Cell {
    engine: Engine,
    clock: Clock,
    infos: BTreeMap<WorkerId, WorkerInfo>,
    workers: BTreeMap<WorkerId, Worker>,
    spent: Spent,
}

/// Runs `work` and adds its time to `sum`.
fn timed<T>(sum: &mut Duration, work: impl FnOnce() -> T) -> T {
    let began = Instant::now();
    let done = work();
    *sum += began.elapsed();
    done
}

impl Cell {
    fn new(count: usize) -> Cell {
        let clock = cell::start();
        let mut engine = cell::engine(vec![queue()]);
        let infos = cell::workers(count);
        engine.update_workers(clock, infos.clone());
        let workers = infos.keys().map(|id| (id.clone(), Worker::default())).collect();
        let mut cell = Cell { engine, clock, infos, workers, spent: Spent::default() };
        cell.write();
        let ids: Vec<WorkerId> = cell.infos.keys().cloned().collect();
        ids.iter().for_each(|id| cell.renew(id));
        cell
    }

    /// Plays the flow. What it cost.
    fn flow(mut self) -> Spent {
        self.spent = Spent::default();
        let begun = self.clock.now;
        let mut jobs: JobId = 0;
        let mut listed = begun;
        while self.clock.now < begun + Duration::from_secs(SECONDS) {
            let due = (self.clock.now - begun).as_millis() as u64 * JOBS_A_SECOND / 1000;
            (jobs + 1..=due).for_each(|id| self.accept(id));
            jobs = due;
            if self.clock.now - listed > LIST {
                listed = self.clock.now;
                self.list();
            }
            self.renew_due();
            let clock = self.clock;
            timed(&mut self.spent.plan, || self.engine.plan(clock));
            self.write();
            self.act();
            self.clock.now += TICK;
        }
        self.spent
    }

    fn accept(&mut self, id: JobId) {
        let clock = self.clock;
        timed(&mut self.spent.rest, || self.engine.accept(clock, id, Owner::public("checks"), job()));
    }

    fn list(&mut self) {
        let (clock, infos) = (self.clock, self.infos.clone());
        timed(&mut self.spent.list, || self.engine.update_workers(clock, infos));
    }

    /// Renews workers on which a run has ended, and all others now and then.
    fn renew_due(&mut self) {
        let now = self.clock.now;
        let turn = (now.as_millis() / TICK.as_millis()) as usize % RENEWAL_PASSES;
        let due = |(number, (_, worker)): &(usize, (&WorkerId, &Worker))| {
            number % RENEWAL_PASSES == turn || worker.runs.iter().any(|(_, ends)| *ends <= now)
        };
        let ids: Vec<WorkerId> = self.workers.iter().enumerate().filter(due).map(|(_, (id, _))| id.clone()).collect();
        ids.iter().for_each(|id| self.renew(id));
    }

    /// Reports the runs of a worker and those that have ended since.
    fn renew(&mut self, id: &WorkerId) {
        let (mark, now) = (self.engine.mark(), self.clock.now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (over, running): (Vec<_>, Vec<_>) = worker.runs.drain(..).partition(|(_, ends)| *ends <= now);
        worker.runs = running;
        let ended = over.iter().map(|(start, _)| {
            worker.ends += 1;
            End {
                number: worker.ends,
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
        timed(&mut self.spent.report, || self.engine.report(clock, id, report));
    }

    fn write(&mut self) {
        let clock = self.clock;
        timed(&mut self.spent.rest, || cell::write(&mut self.engine, clock));
    }

    fn act(&mut self) {
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
            there.runs.push((start, clock.now + TAKES));
        }
        let ordered = || self.engine.start_answered(clock, worker, task, attempt, OrderOutcome::Started);
        timed(&mut self.spent.rest, ordered);
    }

    /// Answers a question at once.
    fn advise(&mut self, question: &Question) {
        let healthy = question.workers.iter().step_by(ALLOWED);
        let tickets = cell::tickets(healthy, self.clock.now + question.validity);
        timed(&mut self.spent.advice, || self.engine.advice_received(question.unit, &question.workers, tickets));
    }
}

fn job() -> Job {
    cell::job(WIDTH, 2500, 5000, TAKES)
}

fn queue() -> Queue {
    let advice = Advice {
        base: Duration::from_millis(7),
        per_worker: Duration::from_micros(100),
        validity: Duration::from_secs(2),
    };
    cell::queue("checks", Some(advice))
}
