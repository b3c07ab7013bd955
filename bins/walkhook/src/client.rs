//! The client of the entry hosts. It tries them one after the other and never sends a command again once one may have
//! received it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use api::{Command, Outcome, Status};
use uuid::Uuid;
use web::ClientError;

use crate::cli::Cli;

/// Longest time to wait for one answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Size limit of an answer.
pub(crate) const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Longest time to poll for the outcome of a command whose answer was lost.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(20);
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Environment variable with the shared key, used if `--key` is not given.
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
        let http = web::Client::new(ANSWER_TIMEOUT, MAX_ANSWER_BYTES).with_bearer(key.trim());
        Ok(Client { http, entries: cli.entry.clone() })
    }

    /// Sends a statement to the first entry host that can be reached. If its answer is lost, the outcome is looked up
    /// by the command's id at all entry hosts.
    pub(crate) async fn execute(&self, statement: &str, plan: Option<String>) -> Outcome {
        let command = Command { statement: statement.to_owned(), command: Uuid::new_v4(), plan };
        let mut last_error = String::new();
        for entry in &self.entries {
            let url = format!("http://{entry}/v1/statements");
            match self.http.post::<_, Outcome>(&url, &command).await {
                Ok(outcome) if outcome.status == Status::Unknown => return self.poll_outcome(command.command).await,
                Ok(outcome) => return outcome,
                Err(ClientError::NotSent(reason)) => last_error = format!("{entry}: {reason}"),
                Err(ClientError::Status { status, body }) if status.is_client_error() => {
                    return Outcome::not_done(format!("{entry}: {status}: {body}"));
                }
                Err(_) => return self.poll_outcome(command.command).await,
            }
        }
        Outcome::not_done(format!("no entry host can be reached; last error: {last_error}"))
    }

    async fn poll_outcome(&self, command: Uuid) -> Outcome {
        let started_at = Instant::now();
        let mut last = Outcome::unknown(format!("command {command}: no entry host knows its outcome"));
        while started_at.elapsed() < OUTCOME_TIMEOUT {
            for entry in &self.entries {
                let url = format!("http://{entry}/v1/commands/{command}");
                match self.http.get::<Outcome>(&url).await {
                    Ok(outcome) if outcome.status != Status::Unknown => return outcome,
                    Ok(outcome) => last = outcome,
                    Err(_) => {}
                }
            }
            tokio::time::sleep(OUTCOME_POLL_INTERVAL).await;
        }
        last
    }
}
