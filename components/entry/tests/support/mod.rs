//! Helpers for tests of complete entry hosts with simulated services.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use entry::{Answer, Call, Caller, Host, Role};
use fakes::cell::Cell;
use model::Resources;
use sched::WorkerInfo;
use work::{Config, Job, JobId, Outcome, Queue, State, Step};

/// Reached only by failing tests.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

pub fn config(version: u64) -> Config {
    let queue = Queue {
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
    };
    Config::new(version, vec![queue], 10_000)
}

pub fn new_cell() -> Arc<Cell> {
    let cell = Cell::new(config(1));
    (0..2).for_each(|number| cell.add_worker(&format!("w{number}"), worker_info(number)));
    cell
}

/// Attributes of worker `number`.
pub fn worker_info(number: usize) -> WorkerInfo {
    WorkerInfo {
        address: format!("10.0.0.{number}:80"),
        pool: "pool".to_owned(),
        zone: "zone".to_owned(),
        labels: vec!["kind".to_owned(), "rack".to_owned()],
        capacity: Resources::new(4, 4000, 0),
        draining: false,
        evacuated: false,
    }
}

pub fn job(tasks: u32) -> Job {
    let step = Step { count: tasks, need: Resources::new(1, 100, 0), ..Step::default() };
    Job { specification: "text".to_owned(), steps: vec![step], schedule: None }
}

pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

pub fn leads(host: &Arc<Host>) -> bool {
    matches!(host.role(), Role::Leading(_))
}

pub async fn ask(host: &Arc<Host>, call: Call) -> Answer {
    host.ask(call, Instant::now() + TEST_TIMEOUT).await
}

pub async fn submit(host: &Arc<Host>, id: JobId, tasks: u32) -> Answer {
    ask(
        host,
        Call::Submit {
            caller: Caller::Operator,
            queue: "plans".to_owned(),
            id,
            job: Box::new(job(tasks)),
            wait: TEST_TIMEOUT,
        },
    )
    .await
}

pub async fn wait_for_end(host: &Arc<Host>, id: JobId) -> Outcome {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Answer::State(Some(State::Ended(outcome))) =
            ask(host, Call::State { caller: Caller::Operator, id }).await
        {
            return outcome;
        }
        assert!(Instant::now() < end, "the job never ends");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Starts hosts one by one, so that the first one leads.
pub async fn start_hosts(cell: &Arc<Cell>, count: usize) -> Vec<Arc<Host>> {
    let mut hosts: Vec<Arc<Host>> = Vec::new();
    for number in 0..count {
        let host = cell.start_host(&format!("host-{number}")).await.expect("a free port");
        wait_until("ready", || host.ready()).await;
        hosts.push(host);
    }
    assert!(leads(&hosts[0]));
    hosts
}
