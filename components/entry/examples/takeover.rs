//! Measures how long a takeover takes by number of workers: a leader stops under load, and another host replaces it.
//!
//!     cargo run --release -p entry --example takeover [WORKERS...]
//!
//! Hosts, store and workers share one thread. Each call to a worker uses as much processor time as a real one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{Answer, Call, Caller, Host, Role};
use fakes::cell::{Cell, SimulatedRun};
use model::Resources;
use sched::{RunOutcome, WorkerInfo};
use tokio::time::sleep;
use work::{Config, Job, JobId, Queue, Step, Term};

/// Processor time of a call to a worker.
const CALL_COST: Duration = Duration::from_micros(100);
/// Number of followers.
const FOLLOWERS: usize = 40;
/// Number of tasks per job, and their duration.
const TASKS: u32 = 10;
const TASK_DURATION: Duration = Duration::from_secs(2);
/// One job per second is submitted for this many workers.
const WORKERS_PER_JOB: usize = 85;
/// How long the first leader leads under load.
const WARM_UP: Duration = Duration::from_secs(6);
/// Reached only by failing takeovers.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let sizes: Vec<usize> = std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    let sizes = if sizes.is_empty() { vec![3000, 6000, 12_000] } else { sizes };
    println!("workers | next leader | first job accepted | first start | all called | first calls at once");
    for workers in sizes {
        measure(workers).await?;
    }
    Ok(())
}

async fn measure(workers: usize) -> anyhow::Result<()> {
    let cell = Cell::new(Config::new(1, vec![queue()], 100_000));
    (0..workers).for_each(|number| cell.add_worker(&format!("w{number:05}"), info(number)));
    cell.simulate_runs(SimulatedRun { duration: TASK_DURATION, outcome: RunOutcome::Done });
    cell.set_max_worker_wait(Duration::from_secs(2));
    let mut hosts = vec![cell.start_host("host-0").await?];
    wait_until(|| leads(&hosts[0])).await;
    for number in 1..=FOLLOWERS {
        hosts.push(cell.start_host(&format!("host-{number}")).await?);
    }
    wait_until(|| cell.first_calls(1).len() == workers && hosts.iter().all(|host| host.ready())).await;
    cell.set_call_cpu_time(CALL_COST);
    let load =
        tokio::spawn(submit(hosts[FOLLOWERS].clone(), Duration::from_secs(1) / (workers / WORKERS_PER_JOB) as u32));
    sleep(WARM_UP).await;

    let began = Instant::now();
    let first = hosts.remove(0);
    tokio::spawn(async move { first.stop().await });
    let claimed = wait_until(|| hosts.iter().any(leads)).await - began;
    let next = hosts.iter().find(|host| leads(host)).cloned().expect("one leads");
    let term = term(&next);
    let probe = tokio::spawn(first_accepted(next.clone()));
    // Attempt numbers of a term are higher than those of the previous term.
    let started = wait_until(|| cell.starts().last().is_some_and(|(_, _, attempt)| *attempt > 1000)).await;
    let called = wait_until(|| cell.first_calls(term).len() >= workers).await;
    let accepted = probe.await?;
    println!(
        "{workers:7} | {claimed:.2?} | {:.2?} | {:.2?} | {:.2?} | {}",
        accepted - began,
        started - began,
        called - began,
        cell.max_concurrent_first_calls()
    );
    load.abort();
    for host in hosts {
        host.stop().await;
    }
    Ok(())
}

/// Submits jobs until it is aborted.
async fn submit(host: Arc<Host>, pause: Duration) {
    for id in 1.. {
        let host = host.clone();
        tokio::spawn(async move { host.ask(job(id), Instant::now() + Duration::from_secs(3)).await });
        sleep(pause).await;
    }
}

/// When the first job is accepted.
async fn first_accepted(host: Arc<Host>) -> Instant {
    while host.ask(job(u64::MAX), Instant::now() + TIMEOUT).await != Answer::Accepted {
        sleep(POLL_INTERVAL).await;
    }
    Instant::now()
}

async fn wait_until(mut holds: impl FnMut() -> bool) -> Instant {
    let end = Instant::now() + TIMEOUT;
    while !holds() && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
    Instant::now()
}

fn leads(host: &Arc<Host>) -> bool {
    term(host) > 0
}

fn term(host: &Host) -> Term {
    match host.role() {
        Role::Leading(leadership) => leadership.term,
        Role::NoLeader | Role::Following(..) => 0,
    }
}

fn job(id: JobId) -> Call {
    let step = Step { count: TASKS, need: Resources::new(3, 9000, 0), ..Step::default() };
    let job = Job { specification: "x".repeat(1500), steps: vec![step], schedule: None };
    let wait = Duration::from_secs(2);
    Call::Submit { caller: Caller::Operator, queue: "plans".to_owned(), id, job: Box::new(job), wait }
}

fn queue() -> Queue {
    Queue {
        name: "plans".to_owned(),
        host: "queues.example".to_owned(),
        prefix: "/plans/".to_owned(),
        public: true,
        pool: "pool".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        objective: Duration::from_secs(1),
        advice: None,
    }
}

fn info(number: usize) -> WorkerInfo {
    WorkerInfo {
        address: format!("10.{}.{}.{}:80", number / 65_536, number / 256 % 256, number % 256),
        pool: "pool".to_owned(),
        zone: "zone".to_owned(),
        labels: vec!["kind".to_owned(), format!("rack-{}", number / 12)],
        capacity: Resources::new(16, 65_536, 0),
        draining: false,
        evacuated: false,
    }
}
