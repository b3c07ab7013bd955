//! Measures the CPU time of the leader's decisions: `cargo run --release -p sched --example flow`. Time is simulated.
//!
//! The first table has a steady rate of jobs by number of workers, and prints the CPU time per simulated second. The
//! second part has 350 workers, filled by a less urgent queue, 1,000 waiting jobs of three queues with advice, and 40 hosts that ask, first with
//! a steady rate of urgent jobs and then with a burst. It prints the CPU time of an accepted job, of a start and of a
//! pass with its parts. With the argument `overload` only this part runs, and with `large` only a cell of 1,100 workers
//! and 147 hosts with wide gangs and steps, at two thirds of its cores and beyond them.

mod cell;
#[path = "cell/wide.rs"]
mod wide;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sched::{
    Action, Clock, End, Engine, Hosts, OrderOutcome, Owner, Question, Report, RunOutcome, Running, Start, WorkerInfo,
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
/// Id of the first waiting job of an overload; lower ids belong to jobs that arrive later.
const FIRST_WAITING: JobId = 1_000_000;

/// Number of workers and of hosts in the large cell, and jobs per second that need two thirds of its cores, and more than
/// all.
const LARGE_WORKERS: usize = 1100;
const LARGE_HOSTS: usize = 147;
const LARGE_PER_SECOND: u64 = 109;
const LARGE_BURST_PER_SECOND: u64 = 220;

/// Number of workers, of hosts that ask the advice service, and of waiting jobs at the start of an overload.
const OVERLOAD_WORKERS: usize = 350;
const OVERLOAD_HOSTS: usize = 40;
const OVERLOAD_BACKLOG: u64 = 1000;
/// Jobs of a less urgent queue without advice, and their tasks, that fill all room that the others leave.
const FILLING_JOBS: u64 = 60;
const FILLING_TASKS: u32 = 100;
/// CPU of such a task in thousandths of a core, and its run time.
const FILLING_CPU_MILLI: u32 = 4000;
const FILLING_RUN_TIME: Duration = Duration::from_secs(3);
/// Urgent jobs per second during an overload, and during its burst.
const URGENT_PER_SECOND: u64 = 100;
const BURST_PER_SECOND: u64 = 500;

/// CPU time by kind of call.
#[derive(Default)]
struct CpuTime {
    plan: Duration,
    accept: Duration,
    report: Duration,
    list: Duration,
    advice: Duration,
    rest: Duration,
    /// The longest pass.
    longest: Duration,
    passes: u32,
    /// Waiting and examined units, summed over all passes.
    waiting: usize,
    examined: usize,
    /// The most units that a pass examined.
    most_examined: usize,
    accepted: u32,
    starts: u32,
    questions: u32,
    /// Core-seconds of the started runs, by CPU need.
    work: BTreeMap<u32, f64>,
}

/// The jobs that arrive in a measurement.
#[derive(Clone, Copy)]
struct Load {
    jobs_per_second: u64,
    job: fn(JobId) -> (&'static str, Job),
    /// Number of hosts that ask the advice service; `None` if each question is answered at once.
    hosts: Option<usize>,
}

/// A worker's runs and when they end.
#[derive(Default)]
struct Worker {
    runs: Vec<(Start, Duration)>,
    /// Number of the last end.
    last_end: u64,
}

fn main() {
    let part = std::env::args().nth(1);
    if part.as_deref() == Some("large") {
        large("steady", LARGE_PER_SECOND);
        large("burst", LARGE_BURST_PER_SECOND);
        return;
    }
    if part.as_deref() != Some("overload") {
        cells();
    }
    for (name, jobs_per_second) in [("steady", URGENT_PER_SECOND), ("burst", BURST_PER_SECOND)] {
        overload(name, jobs_per_second);
    }
}

/// Measures cells of several sizes at a steady rate of jobs.
fn cells() {
    println!("{JOBS_PER_SECOND} jobs of {TASKS_PER_JOB} tasks per second; ms of CPU time per second");
    println!("{:>8} {:>8} {:>8} {:>8} {:>8} {:>8}", "workers", "plan", "report", "list", "advice", "rest");
    for workers in CELLS {
        let steady = Load { jobs_per_second: JOBS_PER_SECOND, job: |_| ("checks", job()), hosts: None };
        let cpu_time = Cell::new(workers, steady).run_load();
        let ms = |time: Duration| time.as_secs_f64() * 1e3 / SECONDS as f64;
        let (plan, report, list) = (ms(cpu_time.plan), ms(cpu_time.report), ms(cpu_time.list));
        println!(
            "{workers:>8} {plan:>8.1} {report:>8.1} {list:>8.1} {:>8.1} {:>8.1}",
            ms(cpu_time.advice),
            ms(cpu_time.rest + cpu_time.accept)
        );
    }
}

/// Measures an overload and prints its costs.
fn overload(name: &str, jobs_per_second: u64) {
    let load = Load { jobs_per_second, job: cell::mixed::urgent, hosts: Some(OVERLOAD_HOSTS) };
    let mut cell = Cell::new(OVERLOAD_WORKERS, load);
    (1..=OVERLOAD_BACKLOG).for_each(|id| cell.submit(FIRST_WAITING + id, cell::mixed::job(id)));
    let filling = || cell::job(FILLING_TASKS, FILLING_CPU_MILLI, 1000, FILLING_RUN_TIME);
    (1..=FILLING_JOBS).for_each(|id| cell.submit(FIRST_WAITING + OVERLOAD_BACKLOG + id, ("plain", filling())));
    // The first pass opens all of these jobs, which in a leader arrive one after another or are replayed.
    cell.plan();
    cell::parts::reset();
    println!(
        "{name}: {OVERLOAD_WORKERS} workers, {OVERLOAD_BACKLOG} waiting jobs, {jobs_per_second} urgent jobs a second"
    );
    print_costs(&cell.run_load());
}

/// Measures a large cell and prints its costs.
fn large(name: &str, jobs_per_second: u64) {
    let load = Load { jobs_per_second, job: wide::job, hosts: Some(LARGE_HOSTS) };
    let cell = Cell::new(LARGE_WORKERS, load);
    cell::parts::reset();
    println!("{name}: {LARGE_WORKERS} workers, {jobs_per_second} jobs a second");
    print_costs(&cell.run_load());
}

/// Prints the costs of a load.
fn print_costs(cpu_time: &CpuTime) {
    let us = |time: Duration, count: u32| time.as_secs_f64() * 1e6 / f64::from(count.max(1));
    let passes = cpu_time.passes;
    println!(
        "    {} units wait and {} are examined in a mean pass, at most {} in one; {} starts, {} questions",
        cpu_time.waiting / passes as usize,
        cpu_time.examined / passes as usize,
        cpu_time.most_examined,
        cpu_time.starts,
        cpu_time.questions
    );
    println!(
        "    us: {:.1} per accepted job, {:.1} per pass, longest {:.0}, {:.2} per report of a start and {:.1} per answer",
        us(cpu_time.accept, cpu_time.accepted),
        us(cpu_time.plan, passes),
        us(cpu_time.longest, 1),
        us(cpu_time.report + cpu_time.rest, cpu_time.starts),
        us(cpu_time.advice, cpu_time.questions)
    );
    let work: Vec<String> = cpu_time.work.iter().map(|(need, work)| format!("{work:.0} by tasks of {need}")).collect();
    println!("    core-seconds started, by CPU need of the tasks in thousandths: {}", work.join(", "));
    cell::parts::print(passes);
}

struct Cell {
    engine: Engine,
    clock: Clock,
    infos: BTreeMap<WorkerId, WorkerInfo>,
    workers: BTreeMap<WorkerId, Worker>,
    cpu_time: CpuTime,
    load: Load,
    /// Questions that wait for a host, and those being answered, with the time of the answer.
    questions: Vec<Question>,
    answering: Vec<(Duration, Question)>,
}

/// Calls `work` and adds its duration to `sum`.
fn timed<T>(sum: &mut Duration, work: impl FnOnce() -> T) -> T {
    let started_at = Instant::now();
    let done = work();
    *sum += started_at.elapsed();
    done
}

impl Cell {
    fn new(count: usize, load: Load) -> Cell {
        let clock = cell::start();
        let mut engine = cell::engine(queues());
        let infos = cell::workers(count);
        engine.update_workers(clock, infos.clone());
        let workers = infos.keys().map(|id| (id.clone(), Worker::default())).collect();
        let (questions, answering) = (Vec::new(), Vec::new());
        let mut cell = Cell { engine, clock, infos, workers, cpu_time: CpuTime::default(), load, questions, answering };
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
            let due = (self.clock.now - start_time).as_millis() as u64 * self.load.jobs_per_second / 1000;
            (jobs + 1..=due).for_each(|id| self.submit(id, (self.load.job)(id)));
            jobs = due;
            if self.clock.now - listed > LIST_INTERVAL {
                listed = self.clock.now;
                self.list();
            }
            self.renew_due();
            self.answer_due();
            self.plan();
            self.write();
            self.apply();
            self.clock.now += TICK;
        }
        self.cpu_time
    }

    fn submit(&mut self, id: JobId, (queue, job): (&str, Job)) {
        let clock = self.clock;
        self.cpu_time.accepted += 1;
        timed(&mut self.cpu_time.accept, || self.engine.accept(clock, id, Owner::public(queue), job));
    }

    fn plan(&mut self) {
        if let Some(hosts) = self.load.hosts {
            let open = || self.questions.iter().chain(self.answering.iter().map(|(_, question)| question));
            let long = open().filter(|question| sched::is_long(question.cost)).count();
            let free = hosts.saturating_sub(open().count());
            self.engine.set_askers(Hosts { all: hosts, free, long });
        }
        let mut pass = Duration::ZERO;
        timed(&mut pass, || cell::parts::plan(&mut self.engine, self.clock));
        let counts = self.engine.last_pass();
        self.cpu_time.plan += pass;
        self.cpu_time.longest = self.cpu_time.longest.max(pass);
        self.cpu_time.passes += 1;
        self.cpu_time.waiting += counts.waiting;
        self.cpu_time.examined += counts.examined;
        self.cpu_time.most_examined = self.cpu_time.most_examined.max(counts.examined);
    }

    /// Passes on the answers that are due, and gives waiting questions to free hosts.
    fn answer_due(&mut self) {
        let Some(hosts) = self.load.hosts else { return };
        let now = self.clock.now;
        let (due, later) = std::mem::take(&mut self.answering).into_iter().partition(|(at, _)| *at <= now);
        self.answering = later;
        let due: Vec<(Duration, Question)> = due;
        due.iter().for_each(|(_, question)| self.advise(question));
        let free = hosts.saturating_sub(self.answering.len()).min(self.questions.len());
        let sent = self.questions.drain(..free).map(|question| (now + question.cost, question));
        self.answering.extend(sent);
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
        let report = Report { mark, running: running.collect(), ended, truncated: false };
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
                Action::Ask(question) if self.load.hosts.is_some() => self.questions.push(question),
                Action::Ask(question) => self.advise(&question),
                Action::Stop(..) | Action::Forget(_) => {}
            }
        }
    }

    /// Starts a run on a worker.
    fn start(&mut self, worker: &str, start: Start) {
        let clock = self.clock;
        let (task, attempt) = (start.task, start.attempt);
        self.cpu_time.starts += 1;
        let step = start.job.steps.first();
        let core_seconds = step.map_or(0.0, |step| f64::from(step.need.cpu_milli) / 1e3 * step.estimate.as_secs_f64());
        *self.cpu_time.work.entry(step.map_or(0, |step| step.need.cpu_milli)).or_default() += core_seconds;
        let run_time = start.job.steps.first().map_or(RUN_TIME, |step| step.estimate);
        if let Some(there) = self.workers.get_mut(worker) {
            there.runs.push((start, clock.now + run_time));
        }
        let ordered = || self.engine.start_answered(clock, worker, task, attempt, OrderOutcome::Started);
        timed(&mut self.cpu_time.rest, ordered);
    }

    /// Answers a question.
    fn advise(&mut self, question: &Question) {
        self.cpu_time.questions += 1;
        let healthy = question.workers.iter().filter(|worker| wide::may_run(question.unit, worker));
        let tickets = cell::tickets(healthy, self.clock.now + question.validity);
        timed(&mut self.cpu_time.advice, || self.engine.advice_received(question.unit, &question.workers, tickets));
    }
}

fn job() -> Job {
    cell::job(TASKS_PER_JOB, 2500, 5000, RUN_TIME)
}

fn queues() -> Vec<Queue> {
    let advice = Advice {
        base: Duration::from_millis(7),
        per_worker: Duration::from_micros(100),
        validity: Duration::from_secs(2),
    };
    let mut queues = cell::mixed::queues();
    queues.extend(wide::queues());
    let plain = Queue { priority: 3, objective: Duration::from_secs(60), ..cell::queue("plain", None) };
    queues.extend([cell::queue("checks", Some(advice)), plain]);
    queues
}
