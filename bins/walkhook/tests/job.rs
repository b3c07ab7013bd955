//! Commands for callers' jobs against a complete entry host, and the events of a job from the logs of several hosts.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;
use std::time::{Duration, Instant};

use console::Console;
use fakes::cell::{Cell, SimulatedRun};
use model::Resources;
use sched::{RunOutcome, WorkerInfo};
use work::key::Digest;
use work::{Config, Queue, Workspace};

const ID: &str = "00000000000000a7";
/// Far above what a passing test needs.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);

fn config() -> Config {
    let queue = Queue {
        name: "plans".to_owned(),
        host: "queues.example".to_owned(),
        prefix: "/plans/".to_owned(),
        public: true,
        pool: "pool".to_owned(),
        priority: 1,
        max_attempts: 3,
        stretch: 2.0,
        objective: Duration::from_secs(1),
        advice: None,
    };
    Config::new(3, vec![queue], 10_000)
}

struct TestHost {
    cell: Arc<Cell>,
    address: SocketAddr,
    _server: dropshot::HttpServer<Arc<Console>>,
}

async fn start_host() -> TestHost {
    let cell = Cell::new(config());
    let info = WorkerInfo {
        address: "10.0.0.1:80".to_owned(),
        pool: "pool".to_owned(),
        zone: "zone".to_owned(),
        labels: Vec::new(),
        capacity: Resources::new(4, 4000, 0),
        draining: false,
        evacuated: false,
    };
    cell.add_worker("w1", info);
    cell.simulate_runs(SimulatedRun { duration: Duration::from_secs(600), outcome: RunOutcome::Done });
    let host = cell.start_host("host-1").await.expect("a free port");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !host.ready() {
        assert!(Instant::now() < deadline, "never ready");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let registry = host.metrics.registry();
    let console = Arc::new(Console { host, registry });
    let server = console::start(fakes::any_port(), console, &events::silent()).expect("a free port");
    TestHost { cell, address: server.local_addr(), _server: server }
}

async fn walkhook(test_host: &TestHost, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_walkhook"));
    command.arg("--entry").arg(test_host.address.to_string()).args(arguments);
    tokio::task::spawn_blocking(move || command.output()).await.expect("the task ends").expect("walkhook runs")
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_submitted_explained_and_cancelled_from_the_command_line() {
    let test_host = start_host().await;
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("job.json");
    let need = r#"{"cpu_milli": 3000, "memory_mib": 100, "accelerators": 0}"#;
    let job = format!(r#"{{"queue": "plans", "steps": [{{"count": 2, "need": {need}}}]}}"#);
    std::fs::write(&file, job).expect("written");
    let path = file.display().to_string();

    let submitted = walkhook(&test_host, &["job", "submit", ID, &path]).await;
    assert_eq!(submitted.status.code(), Some(0), "{}", output_text(&submitted));
    let deadline = Instant::now() + TEST_TIMEOUT;
    while test_host.cell.starts().is_empty() {
        assert!(Instant::now() < deadline, "never started");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let explained = output_text(&walkhook(&test_host, &["job", "why", ID]).await);
    assert!(explained.contains(r#""0 on w1, attempt 1""#), "{explained}");
    assert!(explained.contains("1 tasks need places: 1 suitable workers have room for 0"), "{explained}");
    let cancelled = walkhook(&test_host, &["job", "cancel", ID]).await;
    assert_eq!(cancelled.status.code(), Some(0), "{}", output_text(&cancelled));
    let explained = output_text(&walkhook(&test_host, &["job", "why", ID]).await);
    assert!(explained.contains(r#""state": "cancelled""#), "{explained}");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_arguments_and_missing_jobs_are_reported_differently() {
    let test_host = start_host().await;
    let absent = walkhook(&test_host, &["job", "why", ID]).await;
    assert_eq!(absent.status.code(), Some(1));
    assert!(output_text(&absent).contains("no such job"), "{}", output_text(&absent));
    let malformed = walkhook(&test_host, &["job", "why", "a7"]).await;
    assert!(output_text(&malformed).contains("`a7` is not 16 hexadecimal digits"), "{}", output_text(&malformed));
    let unknown = walkhook(&test_host, &["job", "forget", ID]).await;
    assert_eq!(unknown.status.code(), Some(2));
    assert!(output_text(&unknown).contains("use: job why ID"), "{}", output_text(&unknown));
}

#[tokio::test(flavor = "multi_thread")]
async fn queues_and_the_leader_are_shown() {
    let test_host = start_host().await;
    let queues = output_text(&walkhook(&test_host, &["queues"]).await);
    assert!(queues.contains(r#""name": "plans""#) && queues.contains(r#""waiting": 0"#), "{queues}");
    let host = output_text(&walkhook(&test_host, &["host"]).await);
    assert!(host.contains(r#""leader": "host-1""#) && host.contains(r#""config": 3"#), "{host}");
}

#[tokio::test(flavor = "multi_thread")]
async fn workspaces_are_shown_with_their_usage_and_without_their_keys() {
    let test_host = start_host().await;
    let workspace = Workspace {
        name: "rail".to_owned(),
        keys: vec![Digest::of("a secret")],
        weight: 2.5,
        limit: Resources::new(8, 0, 0),
    };
    let keyed = Config::new(4, config().queues, 10_000).with_workspaces(vec![workspace]);
    test_host.cell.set_config(keyed);
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let table = output_text(&walkhook(&test_host, &["workspaces"]).await);
        if table.contains("rail") {
            assert!(table.contains("0 of 8") && table.contains("0 of -") && table.contains("2.5"), "{table}");
            break;
        }
        assert!(Instant::now() < deadline, "never shown: {table}");
    }
    let json = output_text(&walkhook(&test_host, &["--output", "json", "workspaces"]).await);
    assert!(json.contains(r#""keys":1"#) && json.contains(r#""name":"rail""#), "{json}");
}

#[test]
fn the_logs_of_several_hosts_are_merged_by_id_in_order_of_time() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let line = |time: &str, host: &str, text: &str, id: &str| {
        format!(r#"{{"msg":"{text}","level":"INFO","ts":"{time}","host":"{host}","job":"{id}","event":610}}"#)
    };
    let one = [line("2026-01-01T00:00:02Z", "a", "later", ID), line("2026-01-01T00:00:03Z", "a", "other", "77")];
    let two = [line("2026-01-01T00:00:01Z", "b", "sooner", ID), "no line of ours".to_owned()];
    let paths: Vec<String> = [("a.log", one.join("\n")), ("b.log", two.join("\n"))]
        .into_iter()
        .map(|(name, text)| {
            let path = directory.path().join(name);
            std::fs::write(&path, text).expect("written");
            path.display().to_string()
        })
        .collect();
    let output =
        Command::new(env!("CARGO_BIN_EXE_walkhook")).args(["log", ID]).args(&paths).output().expect("walkhook runs");
    let text = output_text(&output);
    let (sooner, later) = (text.find("sooner").expect("shown"), text.find("later").expect("shown"));
    assert!(sooner < later && !text.contains("other"), "{text}");
}
