//! Commands for callers' jobs: `job why ID`, `job cancel ID`, `job submit ID FILE`, `queues`, `workspaces`, `host`.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use api::{Rows, Status};
use serde_json::Value;

use crate::cli::{Cli, Output};
use crate::print;

/// Thousandths of a core in a core.
const MILLI: f64 = 1000.0;

/// What the words after the options ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// How a job stands, and why.
    Why(String),
    /// Cancels a job.
    Cancel(String),
    /// Submits the job in a file under an id.
    Submit(String, String),
    /// The queues.
    Queues,
    /// The workspaces: their limits, and what they use of them.
    Workspaces,
    /// The host that is asked, and who leads.
    Host,
}

/// The command, if the words are one for callers' jobs.
pub(crate) fn command(words: &[String]) -> Result<Option<Command>> {
    let words: Vec<&str> = words.iter().flat_map(|word| word.split_whitespace()).collect();
    let command = match words.as_slice() {
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

/// Prints an answer: workspaces as a table, unless JSON is wanted.
fn show(command: &Command, answer: &Value, output: Output) {
    match (command, answer, output) {
        (Command::Workspaces, Value::Array(workspaces), Output::Table) => print::table(&table(workspaces)),
        _ => print::value(answer, output),
    }
}

/// Workspaces as rows. An amount without a limit is a dash.
fn table(workspaces: &[Value]) -> Rows {
    let columns = ["workspace", "cores", "memory MiB", "accelerators", "live", "waiting", "refused", "weight", "keys"];
    let number = |value: &Value| value.as_f64().map_or("-".to_owned(), |number| number.to_string());
    let of_limit = |workspace: &Value, field: &str, unit: f64| {
        let amount = |part: &str| workspace[part][field].as_f64().unwrap_or_default() / unit;
        match amount("limit") {
            0.0 => format!("{} of -", amount("used")),
            limit => format!("{} of {limit}", amount("used")),
        }
    };
    let row = |workspace: &Value| {
        let name = workspace["name"].as_str().unwrap_or_default();
        let gone = if workspace["configured"] == Value::Bool(false) { " (gone)" } else { "" };
        let mut row = vec![format!("{name}{gone}")];
        row.push(of_limit(workspace, "cpu_milli", MILLI));
        row.push(of_limit(workspace, "memory_mib", 1.0));
        row.push(of_limit(workspace, "accelerators", 1.0));
        row.extend(["live", "waiting", "refused", "weight", "keys"].iter().map(|field| number(&workspace[*field])));
        row
    };
    Rows { columns: columns.map(str::to_owned).to_vec(), rows: workspaces.iter().map(row).collect() }
}

/// Carries a command out at the first entry host that answers.
pub(crate) async fn run(cli: &Cli, command: Command) -> Result<Status> {
    let client = web::Client::new(crate::client::PATIENCE, crate::client::MAX_ANSWER);
    let mut last = None;
    for entry in &cli.entry {
        match call(&client, *entry, &command).await {
            Ok(answer) => {
                show(&command, &answer, cli.output);
                return Ok(Status::Done);
            }
            Err(web::ClientError::NotSent(fault)) => last = Some(fault),
            Err(web::ClientError::Status { status, body }) => {
                eprintln!("{status}: {}", message(&body));
                return Ok(Status::NotDone);
            }
            Err(fault) => {
                eprintln!("{fault}");
                return Ok(Status::Unknown);
            }
        }
    }
    bail!("no entry host answers: {}", last.unwrap_or_else(|| "none is named by --entry".to_owned()))
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
            let body = read(file).map_err(|fault| web::ClientError::NotSent(format!("{fault:#}")))?;
            client.put(&format!("{base}/jobs/{id}"), &body).await.map(|()| Value::Null)
        }
    }
}

fn read(file: &str) -> Result<Value> {
    let text = std::fs::read_to_string(file).with_context(|| format!("{file}: can't be read"))?;
    serde_json::from_str(&text).with_context(|| format!("{file}: not JSON"))
}

/// The text in an error's body.
fn message(body: &str) -> String {
    let value: Option<Value> = serde_json::from_str(body).ok();
    let text = value.as_ref().and_then(|value| value.get("message")).and_then(Value::as_str);
    text.unwrap_or(body).to_owned()
}
