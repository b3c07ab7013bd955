//! The command line client: exit codes, positions of syntax errors, and the lookup of outcomes whose answers were lost.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;

use api::{Command, Health, OperatorHandler, Outcome};
use async_trait::async_trait;
use parking_lot::Mutex;
use uuid::Uuid;

const KEY: &str = "a shared key of a test cell";

/// A fake entry host that records its calls.
#[derive(Default)]
struct FakeEntryHost {
    executed: Mutex<Vec<Command>>,
    lookups: Mutex<Vec<Uuid>>,
    /// Its answer to a command; by default, the command is done.
    answer: Mutex<Option<Outcome>>,
}

#[async_trait]
impl OperatorHandler for FakeEntryHost {
    async fn execute(&self, command: Command) -> Outcome {
        self.executed.lock().push(command);
        self.answer.lock().clone().unwrap_or_else(|| Outcome::done("accepted"))
    }

    async fn outcome(&self, command: Uuid) -> Outcome {
        self.lookups.lock().push(command);
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

fn start(fake: &Arc<FakeEntryHost>) -> dropshot::HttpServer<Arc<dyn OperatorHandler>> {
    let operators: Arc<dyn OperatorHandler> = fake.clone();
    api::start(SocketAddr::from(([127, 0, 0, 1], 0)), operators, &events::silent()).expect("a free port")
}

async fn walkhook(arguments: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_walkhook"));
    command.args(arguments).env("WALKHOOK_KEY", KEY).output().await.expect("walkhook runs")
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_syntax_error_shows_its_position_and_nothing_is_sent() {
    let fake = Arc::new(FakeEntryHost::default());
    let server = start(&fake);
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &entry, "drain worker w-1; cancel worklod menus"]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("^---") && output_text(&output).contains("expected"),
        "{}",
        output_text(&output)
    );
    assert!(fake.executed.lock().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_next_entry_host_is_tried_when_one_is_unreachable() {
    let fake = Arc::new(FakeEntryHost::default());
    let server = start(&fake);
    let unreachable = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap().to_string();
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &unreachable, "--entry", &entry, "drain worker w-1"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    assert_eq!(fake.executed.lock().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_outcome_is_looked_up_and_the_command_is_sent_only_once() {
    let fake = Arc::new(FakeEntryHost::default());
    *fake.answer.lock() = Some(Outcome::unknown("the platform did not answer"));
    let server = start(&fake);
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &entry, "--entry", &entry, "cancel workload menus"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", output_text(&output));
    let executed = fake.executed.lock();
    assert_eq!(executed.len(), 1);
    assert_eq!(*fake.lookups.lock(), [executed[0].command]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_exit_code_tells_commands_not_done_and_unreachable_hosts() {
    let fake = Arc::new(FakeEntryHost::default());
    *fake.answer.lock() = Some(Outcome::not_done("no workload `menus`"));
    let server = start(&fake);
    let entry = server.local_addr().to_string();
    let output = walkhook(&["--entry", &entry, "cancel workload menus"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(output_text(&output).contains("no workload `menus`"));
    let unreachable = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap().to_string();
    assert_eq!(walkhook(&["--entry", &unreachable, "show hosts"]).await.status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_is_checked_before_anything_is_sent() {
    let fake = Arc::new(FakeEntryHost::default());
    let server = start(&fake);
    let entry = server.local_addr().to_string();
    let directory = tempfile::tempdir().unwrap();
    let plan = directory.path().join("plan.yaml");
    let text = "workloads:\n  - { name: a, team: t, kind: batch, each: { processors: 1, memory: 12 }, run: r }\n";
    std::fs::write(&plan, text).unwrap();
    let output = walkhook(&["--entry", &entry, &format!("drain worker w; submit {}", plan.display())]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("workload a: each.memory: `12` is not a size with a unit"),
        "{}",
        output_text(&output)
    );
    assert!(fake.executed.lock().is_empty());
}
