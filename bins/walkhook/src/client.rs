//! Talks to the entry hosts, one after the other, and never runs a command twice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use api::{Command, Outcome, Status};
use uuid::Uuid;
use web::ClientError;

use crate::cli::Cli;

/// How long one answer may take.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);
/// Largest answer, in bytes.
pub(crate) const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// A lost answer is asked after for so long.
const ASK_AFTER: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(300);
/// Where the shared key is looked for without `--key`.
const KEY_VARIABLE: &str = "WALKHOOK_KEY";

pub(crate) struct Client {
    http: web::Client,
    entries: Vec<SocketAddr>,
}

impl Client {
    pub(crate) fn new(cli: &Cli) -> Result<Client> {
        if cli.entry.is_empty() {
            bail!("--entry: name the operators' address of at least one entry host");
        }
        let key = match &cli.key {
            Some(file) => {
                std::fs::read_to_string(file).with_context(|| format!("--key {}: can't be read", file.display()))?
            }
            None => std::env::var(KEY_VARIABLE)
                .with_context(|| format!("the cell's shared key is needed: --key FILE or {KEY_VARIABLE}"))?,
        };
        let http = web::Client::new(PATIENCE, MAX_ANSWER).with_bearer(key.trim());
        Ok(Client { http, entries: cli.entry.clone() })
    }

    /// Sends a statement to the first entry host that can be reached. When its answer is lost, the outcome is
    /// asked after by the command's id, at any of them.
    pub(crate) async fn execute(&self, statement: &str, plan: Option<String>) -> Outcome {
        let command = Command { statement: statement.to_owned(), command: Uuid::new_v4(), plan };
        let mut last = String::new();
        for entry in &self.entries {
            let url = format!("http://{entry}/v1/statements");
            match self.http.post::<_, Outcome>(&url, &command).await {
                Ok(outcome) if outcome.status == Status::Unknown => return self.ask_after(command.command).await,
                Ok(outcome) => return outcome,
                Err(ClientError::NotSent(why)) => last = format!("{entry}: {why}"),
                Err(ClientError::Status { status, body }) if status.is_client_error() => {
                    return Outcome::not_done(format!("{entry}: {status}: {body}"));
                }
                Err(_) => return self.ask_after(command.command).await,
            }
        }
        Outcome::not_done(format!("no entry host can be reached; last: {last}"))
    }

    async fn ask_after(&self, command: Uuid) -> Outcome {
        let began = Instant::now();
        let mut last = Outcome::unknown(format!("command {command}: no entry host could tell"));
        while began.elapsed() < ASK_AFTER {
            for entry in &self.entries {
                let url = format!("http://{entry}/v1/commands/{command}");
                match self.http.get::<Outcome>(&url).await {
                    Ok(outcome) if outcome.status != Status::Unknown => return outcome,
                    Ok(outcome) => last = outcome,
                    Err(_) => {}
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        last
    }
}
