//! Prints outcomes and answers.

use anyhow::Result;
use api::{Outcome, Rows, Status};
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;
use tabled::{Table, Tabled};

use crate::cli::Output;

pub(crate) fn outcome(outcome: &Outcome, output: Output) {
    match output {
        Output::Json => println!("{}", serde_json::to_string(outcome).unwrap_or_default()),
        Output::Table => print_text(outcome),
    }
}

/// Prints an entry host's answer about callers' jobs, or `done` if it has no content.
pub(crate) fn value(value: &serde_json::Value, output: Output) {
    match (value, output) {
        (serde_json::Value::Null, _) => println!("done"),
        (value, Output::Json) => println!("{value}"),
        (value, Output::Table) => println!("{}", serde_json::to_string_pretty(value).unwrap_or_default()),
    }
}

fn print_text(outcome: &Outcome) {
    if let Some(table) = &outcome.table {
        println!("{}", format_table(table));
    }
    let status = match outcome.status {
        Status::Done if outcome.table.is_some() => return,
        Status::Done => "done",
        Status::NotDone => "not done",
        Status::Unknown => "unknown",
    };
    let revision = outcome.revision.map(|revision| format!(" (revision {revision})")).unwrap_or_default();
    let line = format!("{status}: {}{revision}", outcome.message);
    if outcome.status == Status::Done {
        println!("{line}");
    } else {
        eprintln!("{line}");
    }
    if let Some(after) = outcome.retry_after_ms {
        eprintln!("try again in {after} ms");
    }
}

/// Prints rows that were computed here, as a table with borders or as one JSON array.
pub(crate) fn rows<T: Serialize + Tabled>(rows: &[T], output: Output) -> Result<()> {
    match output {
        Output::Table => println!("{}", Table::new(rows)),
        Output::Json => println!("{}", serde_json::to_string(rows)?),
    }
    Ok(())
}

/// Prints rows as a text table.
pub(crate) fn table(table: &Rows) {
    println!("{}", format_table(table));
}

fn format_table(table: &Rows) -> String {
    if table.rows.is_empty() {
        return format!("no rows ({})", table.columns.join(", "));
    }
    let mut builder = Builder::new();
    builder.push_record(table.columns.clone());
    for row in &table.rows {
        builder.push_record(row.clone());
    }
    builder.build().with(Style::blank()).to_string()
}
