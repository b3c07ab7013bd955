//! The operators' command line client.

mod account;
mod cli;
mod client;
mod job;
mod log;
mod print;
mod wait;

use std::io::Read;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use api::Status;
use cli::Cli;
use client::Client;
use query::Statement;

const MISTAKE: u8 = 2;

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(fault) => return mistake(&fault.into()),
    };
    match runtime.block_on(run(&cli)) {
        Ok(status) => ExitCode::from(code(status)),
        Err(fault) => mistake(&fault),
    }
}

fn mistake(fault: &anyhow::Error) -> ExitCode {
    eprintln!("{fault:#}");
    ExitCode::from(MISTAKE)
}

fn code(status: Status) -> u8 {
    match status {
        Status::Done => 0,
        Status::NotDone => 1,
        Status::Unknown => 3,
    }
}

/// Checks all statements before the first is sent; stops at the first that is not done.
async fn run(cli: &Cli) -> Result<Status> {
    if let Some((id, files)) = log::command(&cli.statement)? {
        log::run(&id, &files, cli.output)?;
        return Ok(Status::Done);
    }
    if let Some(files) = account::command(&cli.statement)? {
        account::run(&files, cli.output)?;
        return Ok(Status::Done);
    }
    if let Some(command) = job::command(&cli.statement)? {
        return job::run(cli, command).await;
    }
    let script = script(cli)?;
    let statements = query::parse(&script)?;
    if statements.is_empty() {
        bail!("no statement; for example: walkhook --entry 127.0.0.1:8081 show hosts");
    }
    let texts = split(&script, statements.len())?;
    let plans = plans(&statements)?;
    let client = Client::new(cli)?;
    for ((statement, text), plan) in statements.iter().zip(texts).zip(plans) {
        let outcome = client.execute(text, plan.clone()).await;
        print::outcome(&outcome, cli.output);
        if outcome.status != Status::Done {
            return Ok(outcome.status);
        }
        if cli.wait
            && let (Statement::Submit { .. }, Some(plan)) = (statement, plan)
        {
            wait::until_settled(&client, &plan).await?;
        }
    }
    Ok(Status::Done)
}

fn script(cli: &Cli) -> Result<String> {
    let Some(file) = &cli.file else { return Ok(cli.statement.join(" ")) };
    if !cli.statement.is_empty() {
        bail!("give statements either as arguments or by --file, not both");
    }
    if file.as_os_str() == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).context("standard input")?;
        return Ok(text);
    }
    std::fs::read_to_string(file).with_context(|| format!("{}: can't be read", file.display()))
}

/// The text of each statement. A `;` within quotes does not separate.
fn split(script: &str, count: usize) -> Result<Vec<&str>> {
    let mut quoted = false;
    let mut comment = false;
    let ends_here = |c: char| {
        match c {
            '"' if !comment => quoted = !quoted,
            '#' if !quoted => comment = true,
            '\n' => comment = false,
            _ => {}
        }
        c == ';' && !quoted && !comment
    };
    let parts: Vec<&str> =
        script.split(ends_here).filter(|part| query::parse(part).is_ok_and(|one| one.len() == 1)).collect();
    if parts.len() != count {
        bail!("statements can't be told apart; give them one by one");
    }
    Ok(parts)
}

/// The plan files that the statements name, read before anything is sent.
fn plans(statements: &[Statement]) -> Result<Vec<Option<String>>> {
    let mut plans = Vec::with_capacity(statements.len());
    for statement in statements {
        let Statement::Submit { plan } = statement else {
            plans.push(None);
            continue;
        };
        let text = std::fs::read_to_string(plan).with_context(|| format!("{plan}: can't be read"))?;
        model::plan::parse(&text).with_context(|| plan.clone())?;
        plans.push(Some(text));
    }
    Ok(plans)
}
