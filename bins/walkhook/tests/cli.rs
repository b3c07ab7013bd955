//! The client at the terminal: exit codes, mistakes shown with their place, and lost answers asked after.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;

use api::{Command, Health, OperatorHandler, Outcome};
use async_trait::async_trait;
use parking_lot::Mutex;
use uuid::Uuid;

const KEY: &str = "a shared key of a test cell";

/// An entry host that notes what it is asked.
#[derive(Default)]
struct Double {
    executed: Mutex<Vec<Command>>,
    asked: Mutex<Vec<Uuid>>,
    /// What it says to a command.
    says: Mutex<Option<Outcome>>,
}

#[async_trait]
impl OperatorHandler for Double {
    async fn execute(&self, command: Command) -> Outcome {
        self.executed.lock().push(command);
        self.says.lock().clone().unwrap_or_else(|| Outcome::done("accepted"))
    }

    async fn outcome(&self, command: Uuid) -> Outcome {
        self.asked.lock().push(command);
        Outcome::done("it was carried out")
    }

    fn health(&self) -> Health {
        Health { host: "double".to_owned(), data_centre: "gt-1".to_owned(), serving: true, revision: 1, platform: true }
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn shared_key(&self) -> &str {
        KEY
    }
}

fn start(double: &Arc<Double>) -> dropshot::HttpServer<Arc<dyn OperatorHandler>> {
    let operators: Arc<dyn OperatorHandler> = double.clone();
    api::start(SocketAddr::from(([127, 0, 0, 1], 0)), operators, &events::silent()).expect("a free port")
}

async fn walkhook(arguments: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_walkhook"));
    command.args(arguments).env("WALKHOOK_KEY", KEY).output().await.expect("it runs")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_mistake_shows_its_place_and_nothing_is_sent() {
    let double = Arc::new(Double::default());
    let server = start(&double);
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &entry, "drain worker w-1; cancel worklod menus"]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(said(&output).contains("^---") && said(&output).contains("expected"), "{}", said(&output));
    assert!(double.executed.lock().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_entry_is_tried_when_one_is_gone() {
    let double = Arc::new(Double::default());
    let server = start(&double);
    let gone = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap().to_string();
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &gone, "--entry", &entry, "drain worker w-1"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    assert_eq!(double.executed.lock().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_asked_after_and_the_command_never_sent_twice() {
    let double = Arc::new(Double::default());
    *double.says.lock() = Some(Outcome::unknown("the platform did not answer"));
    let server = start(&double);
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &entry, "--entry", &entry, "cancel workload menus"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    let executed = double.executed.lock();
    assert_eq!(executed.len(), 1);
    assert_eq!(*double.asked.lock(), [executed[0].command]);
}

#[tokio::test(flavor = "multi_thread")]
async fn not_done_and_nobody_there_are_told_by_the_exit_code() {
    let double = Arc::new(Double::default());
    *double.says.lock() = Some(Outcome::not_done("no workload `menus`"));
    let server = start(&double);
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &entry, "cancel workload menus"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(said(&output).contains("no workload `menus`"));
    let gone = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap().to_string();
    assert_eq!(walkhook(&["--entry", &gone, "show hosts"]).await.status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_checked_before_anything_is_sent() {
    let double = Arc::new(Double::default());
    let server = start(&double);
    let entry = server.local_addr().to_string();
    let folder = tempfile::tempdir().unwrap();
    let plan = folder.path().join("plan.yaml");
    let text = "workloads:\n  - { name: a, team: t, kind: batch, each: { processors: 1, memory: 12 }, run: r }\n";
    std::fs::write(&plan, text).unwrap();
    let output = walkhook(&["--entry", &entry, &format!("drain worker w; submit {}", plan.display())]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(said(&output).contains("workload a: each.memory: `12` is not a size with a unit"), "{}", said(&output));
    assert!(double.executed.lock().is_empty());
}
