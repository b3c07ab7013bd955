//! Commands for callers' jobs: `job why ID`, `job cancel ID`, `job submit ID FILE`, `queues`, `host`.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use api::Status;
use serde_json::Value;

use crate::cli::Cli;
use crate::print;

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
        ["host"] => Command::Host,
        ["job", ..] => bail!("use: job why ID | job cancel ID | job submit ID FILE"),
        _ => return Ok(None),
    };
    Ok(Some(command))
}

/// Carries a command out at the first entry host that answers.
pub(crate) async fn run(cli: &Cli, command: Command) -> Result<Status> {
    let client = web::Client::new(crate::client::PATIENCE, crate::client::MAX_ANSWER);
    let mut last = None;
    for entry in &cli.entry {
        match call(&client, *entry, &command).await {
            Ok(answer) => {
                print::value(&answer, cli.output);
                return Ok(Status::Done);
            }
            Err(web::Fault::NotSent(fault)) => last = Some(fault),
            Err(web::Fault::Status { status, body }) => {
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

async fn call(client: &web::Client, entry: SocketAddr, command: &Command) -> Result<Value, web::Fault> {
    let base = format!("http://{entry}");
    match command {
        Command::Why(id) => client.get(&format!("{base}/jobs/{id}")).await,
        Command::Queues => client.get(&format!("{base}/queues")).await,
        Command::Host => client.get(&format!("{base}/host")).await,
        Command::Cancel(id) => client.delete(&format!("{base}/jobs/{id}")).await.map(|()| Value::Null),
        Command::Submit(id, file) => {
            let body = read(file).map_err(|fault| web::Fault::NotSent(format!("{fault:#}")))?;
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
