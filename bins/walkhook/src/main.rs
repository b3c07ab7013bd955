//! `walkhook`, the command line client for operators.

mod account;
mod cli;
mod client;
mod event;
mod job;
mod log;
mod print;
mod usage;
mod wait;

use std::io::Read;
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use api::Status;
use cli::Cli;
use client::Client;
use query::Statement;

const INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(fault) => return report_error(&fault.into()),
    };
    match runtime.block_on(run(&cli)) {
        Ok(status) => ExitCode::from(exit_code(status)),
        Err(fault) => report_error(&fault),
    }
}

fn report_error(fault: &anyhow::Error) -> ExitCode {
    eprintln!("{fault:#}");
    ExitCode::from(INVALID_INPUT)
}

fn exit_code(status: Status) -> u8 {
    match status {
        Status::Done => 0,
        Status::NotDone => 1,
        Status::Unknown => 3,
    }
}

/// Checks all statements before it sends the first, and stops at the first one that is not done.
async fn run(cli: &Cli) -> Result<Status> {
    let account = account::command(&cli.statement)?;
    if cli.usage && account.is_none() {
        bail!("use: account --usage FILE...");
    }
    if let Some((id, files)) = log::command(&cli.statement)? {
        log::run(&id, &files, cli.output)?;
        return Ok(Status::Done);
    }
    if let Some(files) = account {
        match cli.usage {
            true => usage::run(&files, cli.output)?,
            false => account::run(&files, cli.output)?,
        }
        return Ok(Status::Done);
    }
    if let Some(command) = job::command(&cli.statement)? {
        return job::run(cli, command).await;
    }
    let script = read_script(cli)?;
    let statements = query::parse(&script)?;
    if statements.is_empty() {
        bail!("no statement; for example: walkhook --entry 127.0.0.1:8081 show hosts");
    }
    let texts = split_statements(&script, statements.len())?;
    let plans = read_plans(&statements)?;
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

fn read_script(cli: &Cli) -> Result<String> {
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

/// Splits a script into the texts of its statements. A `;` within quotes or a comment does not separate statements.
fn split_statements(script: &str, count: usize) -> Result<Vec<&str>> {
    let mut in_quotes = false;
    let mut in_comment = false;
    let is_separator = |c: char| {
        match c {
            '"' if !in_comment => in_quotes = !in_quotes,
            '#' if !in_quotes => in_comment = true,
            '\n' => in_comment = false,
            _ => {}
        }
        c == ';' && !in_quotes && !in_comment
    };
    let parts: Vec<&str> = script
        .split(is_separator)
        .filter(|part| query::parse(part).is_ok_and(|statements| statements.len() == 1))
        .collect();
    if parts.len() != count {
        bail!("the statements can't be separated; give them one by one");
    }
    Ok(parts)
}

/// Reads and checks the plan files that the statements name. `None` stands for a statement without one.
fn read_plans(statements: &[Statement]) -> Result<Vec<Option<String>>> {
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
