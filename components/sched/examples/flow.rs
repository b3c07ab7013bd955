//! Measures what a steady flow of jobs costs the leader's decisions, by the number of workers:
//! `cargo run --release -p sched --example flow`. Time is virtual; what is printed is the processor's time for a second of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use model::Resources;
use sched::{Action, Clock, End, Engine, How, Info, Limits, OrderOutcome, Report, Running, Start, Ticket};
use work::{Advice, Config, Job, JobId, Queue, Step, WorkerId};

/// Workers of the cells that are measured.
const CELLS: [usize; 3] = [300, 1000, 3000];
/// Virtual time.
const SECONDS: u64 = 10;
/// Time between two passes.
const TICK: Duration = Duration::from_millis(2);
/// Jobs a second, and their tasks.
const JOBS_A_SECOND: u64 = 140;
const WIDTH: u32 = 4;
/// How long a run takes.
const TAKES: Duration = Duration::from_millis(1200);
/// How often the list of workers is read.
const LIST: Duration = Duration::from_millis(500);

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
    infos: BTreeMap<WorkerId, Info>,
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
        let clock = Clock { now: Duration::from_secs(1), wall: Duration::from_secs(1_000_000) };
        let mut engine = Engine::new(Limits::example(), 1, Arc::new(config()), Duration::ZERO);
        let infos: BTreeMap<WorkerId, Info> =
            (0..count).map(|number| (format!("worker-{number:05}"), info(number))).collect();
        engine.list(clock, infos.clone());
        let workers = infos.keys().map(|id| (id.clone(), Worker::default())).collect();
        let mut cell = Cell { engine, clock, infos, workers, spent: Spent::default() };
        cell.write();
        let ids: Vec<WorkerId> = cell.infos.keys().cloned().collect();
        ids.iter().for_each(|id| cell.renew(id));
        cell
    }

    fn flow(mut self) -> Spent {
        self.spent = Spent::default();
        let begun = self.clock.now;
        let mut jobs: JobId = 0;
        let mut listed = begun;
        while self.clock.now < begun + Duration::from_secs(SECONDS) {
            let due = (self.clock.now - begun).as_millis() as u64 * JOBS_A_SECOND / 1000;
            while jobs < due {
                jobs += 1;
                let clock = self.clock;
                timed(&mut self.spent.rest, || self.engine.accept(clock, jobs, "checks".to_owned(), job()));
            }
            if self.clock.now - listed > LIST {
                listed = self.clock.now;
                let (clock, infos) = (self.clock, self.infos.clone());
                timed(&mut self.spent.list, || self.engine.list(clock, infos));
            }
            self.ends();
            let clock = self.clock;
            timed(&mut self.spent.plan, || self.engine.plan(clock));
            self.write();
            self.act();
            self.clock.now += TICK;
        }
        self.spent
    }

    /// Renews workers on which a run has ended, and all others now and then.
    fn ends(&mut self) {
        let now = self.clock.now;
        let turn = (now.as_millis() as usize / 2) % 500;
        let due = |(number, (_, worker)): &(usize, (&WorkerId, &Worker))| {
            number % 500 == turn || worker.runs.iter().any(|(_, ends)| *ends <= now)
        };
        let ids: Vec<WorkerId> = self.workers.iter().enumerate().filter(due).map(|(_, (id, _))| id.clone()).collect();
        ids.iter().for_each(|id| self.renew(id));
    }

    fn renew(&mut self, id: &WorkerId) {
        let (mark, now) = (self.engine.mark(), self.clock.now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (over, running): (Vec<_>, Vec<_>) = worker.runs.drain(..).partition(|(_, ends)| *ends <= now);
        worker.runs = running;
        let ended = over.iter().map(|(start, _)| {
            worker.ends += 1;
            End { number: worker.ends, task: start.task, attempt: start.attempt, how: How::Done, saved: String::new() }
        });
        let ended = ended.collect();
        let running = worker.runs.iter().map(|(start, _)| Running {
            task: start.task,
            attempt: start.attempt,
            saved: String::new(),
            percent: (now.as_millis() / 20 % 100) as u8,
        });
        let report = Report { mark, running: running.collect(), ended };
        let clock = self.clock;
        timed(&mut self.spent.report, || self.engine.report(clock, id, report));
    }

    fn write(&mut self) {
        let clock = self.clock;
        timed(&mut self.spent.rest, || {
            let (_, upto) = self.engine.take_records(usize::MAX);
            self.engine.written(clock, upto);
        });
    }

    fn act(&mut self) {
        for action in self.engine.take_actions() {
            match action {
                Action::Start(worker, start) => {
                    let clock = self.clock;
                    let (task, attempt) = (start.task, start.attempt);
                    if let Some(there) = self.workers.get_mut(&worker) {
                        there.runs.push((start, clock.now + TAKES));
                    }
                    let ordered = || self.engine.ordered(clock, &worker, task, attempt, OrderOutcome::Started);
                    timed(&mut self.spent.rest, ordered);
                }
                Action::Ask(question) => {
                    let until = self.clock.now + question.validity;
                    let healthy = question.workers.iter().step_by(2);
                    let tickets =
                        healthy.map(|worker| (worker.clone(), Ticket { text: "ticket".to_owned(), until })).collect();
                    timed(&mut self.spent.advice, || self.engine.advised(question.unit, &question.workers, tickets));
                }
                Action::Stop(..) | Action::Forget(_) => {}
            }
        }
    }
}

fn info(number: usize) -> Info {
    Info {
        address: format!("10.0.0.{number}:1"),
        pool: "pool".to_owned(),
        zone: "zone".to_owned(),
        labels: vec!["a".to_owned(), format!("rack-{}", number / 8)],
        capacity: Resources { cpu_milli: 16_000, memory_mib: 65_536, accelerators: 0 },
        draining: false,
    }
}

fn job() -> Job {
    let need = Resources { cpu_milli: 2500, memory_mib: 5000, accelerators: 0 };
    let step = Step { count: WIDTH, need, estimate: TAKES, ..Step::default() };
    Job { specification: String::new(), steps: vec![step], schedule: None }
}

fn config() -> Config {
    let advice = Advice {
        base: Duration::from_millis(7),
        per_worker: Duration::from_micros(100),
        validity: Duration::from_secs(2),
    };
    let queue = Queue {
        name: "checks".to_owned(),
        host: "host".to_owned(),
        prefix: "/checks/".to_owned(),
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.5,
        objective: Duration::from_millis(250),
        advice: Some(advice),
    };
    Config { version: 1, queues: vec![queue], max_body: 262_144 }
}
