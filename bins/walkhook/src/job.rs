//! Commands for callers' jobs: `job why ID`, `job cancel ID`, `job submit ID FILE`, `queues`, `workspaces`, `host`.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use api::{Rows, Status};
use serde_json::Value;

use crate::cli::{Cli, Output};
use crate::print;

/// Thousandths of a core per core, the unit of `cpu_milli`.
const MILLI_PER_CORE: f64 = 1000.0;

/// A command for callers' jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Shows the state of a job, and why it is in it.
    Why(String),
    /// Cancels a job.
    Cancel(String),
    /// Submits the job in a file (second) under an id (first).
    Submit(String, String),
    /// Shows the queues.
    Queues,
    /// Shows the workspaces with their limits and their usage.
    Workspaces,
    /// Shows the host that answers, and the leader.
    Host,
}

/// Parses a command for callers' jobs. Returns `None` for other arguments.
pub(crate) fn command(arguments: &[String]) -> Result<Option<Command>> {
    let arguments: Vec<&str> = arguments.iter().flat_map(|argument| argument.split_whitespace()).collect();
    let command = match arguments.as_slice() {
        ["job", "why", id] => Command::Why((*id).to_owned()),
        ["job", "cancel", id] => Command::Cancel((*id).to_owned()),
        ["job", "submit", id, file] => Command::Submit((*id).to_owned(), (*file).to_owned()),
        ["queues"] => Command::Queues,
        ["workspaces"] => Command::Workspaces,
        ["host"] => Command::Host,
        ["job", ..] => bail!("use: job why ID | job cancel ID | job submit ID FILE"),
        _ => return Ok(None),
    };
    Ok(Some(command))
}

/// Prints an answer. Workspaces are printed as a table unless JSON was requested.
fn print_answer(command: &Command, answer: &Value, output: Output) {
    match (command, answer, output) {
        (Command::Workspaces, Value::Array(workspaces), Output::Table) => print::table(&workspace_rows(workspaces)),
        _ => print::value(answer, output),
    }
}

/// Converts workspaces to table rows. A missing limit is shown as a dash.
fn workspace_rows(workspaces: &[Value]) -> Rows {
    let columns = [
        "workspace",
        "cores",
        "memory MiB",
        "accelerators",
        "live",
        "waiting",
        "refused",
        "weight",
        "within",
        "excess",
        "keys",
    ];
    let numbers = ["live", "waiting", "refused", "weight", "within", "excess", "keys"];
    let number = |value: &Value| value.as_f64().map_or("-".to_owned(), |number| number.to_string());
    let usage_of_limit = |workspace: &Value, field: &str, unit: f64| {
        let amount = |object: &str| workspace[object][field].as_f64().unwrap_or_default() / unit;
        match amount("limit") {
            0.0 => format!("{} of -", amount("used")),
            limit => format!("{} of {limit}", amount("used")),
        }
    };
    let row = |workspace: &Value| {
        let name = workspace["name"].as_str().unwrap_or_default();
        let gone = if workspace["configured"] == Value::Bool(false) { " (gone)" } else { "" };
        let mut row = vec![format!("{name}{gone}")];
        row.push(usage_of_limit(workspace, "cpu_milli", MILLI_PER_CORE));
        row.push(usage_of_limit(workspace, "memory_mib", 1.0));
        row.push(usage_of_limit(workspace, "accelerators", 1.0));
        row.extend(numbers.iter().map(|field| number(&workspace[*field])));
        row
    };
    Rows { columns: columns.map(str::to_owned).to_vec(), rows: workspaces.iter().map(row).collect() }
}

/// Sends a command to the first entry host that can be reached.
pub(crate) async fn run(cli: &Cli, command: Command) -> Result<Status> {
    let client = web::Client::new(crate::client::ANSWER_TIMEOUT, crate::client::MAX_ANSWER_BYTES);
    let mut last_error = None;
    for entry in &cli.entry {
        match call(&client, *entry, &command).await {
            Ok(answer) => {
                print_answer(&command, &answer, cli.output);
                return Ok(Status::Done);
            }
            Err(web::ClientError::NotSent(fault)) => last_error = Some(fault),
            Err(web::ClientError::Status { status, body }) => {
                eprintln!("{status}: {}", error_message(&body));
                return Ok(Status::NotDone);
            }
            Err(fault) => {
                eprintln!("{fault}");
                return Ok(Status::Unknown);
            }
        }
    }
    bail!("no entry host can be reached: {}", last_error.unwrap_or_else(|| "none is named by --entry".to_owned()))
}

async fn call(client: &web::Client, entry: SocketAddr, command: &Command) -> Result<Value, web::ClientError> {
    let base = format!("http://{entry}");
    match command {
        Command::Why(id) => client.get(&format!("{base}/jobs/{id}")).await,
        Command::Queues => client.get(&format!("{base}/queues")).await,
        Command::Workspaces => client.get(&format!("{base}/workspaces")).await,
        Command::Host => client.get(&format!("{base}/host")).await,
        Command::Cancel(id) => client.delete(&format!("{base}/jobs/{id}")).await.map(|()| Value::Null),
        Command::Submit(id, file) => {
            let body = read_json(file).map_err(|fault| web::ClientError::NotSent(format!("{fault:#}")))?;
            client.put(&format!("{base}/jobs/{id}"), &body).await.map(|()| Value::Null)
        }
    }
}

fn read_json(file: &str) -> Result<Value> {
    let text = std::fs::read_to_string(file).with_context(|| format!("{file}: can't be read"))?;
    serde_json::from_str(&text).with_context(|| format!("{file}: not JSON"))
}

/// The message in the body of an error answer, or the whole body if it has none.
fn error_message(body: &str) -> String {
    let value: Option<Value> = serde_json::from_str(body).ok();
    let text = value.as_ref().and_then(|value| value.get("message")).and_then(Value::as_str);
    text.unwrap_or(body).to_owned()
}
