//! `log ID FILE...`: merges the logs of several hosts and prints the events of one job or request in order of time.

use std::path::Path;

use anyhow::{Context, Result, bail};
use serde_json::Value;

use crate::cli::Output;
use crate::event;

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line {
    /// Time on the clock of the host that wrote it.
    time: String,
    host: String,
    /// Text of the event.
    message: String,
    /// All other fields except the level and the event number.
    fields: Vec<(String, String)>,
}

/// Fields that every line has.
const COMMON_FIELDS: [&str; 5] = ["ts", "host", "msg", "level", "event"];

/// Parses the arguments of `log` to the id and the files. Returns `None` for another command.
pub(crate) fn command(arguments: &[String]) -> Result<Option<(String, Vec<String>)>> {
    match arguments {
        [first, id, files @ ..] if first == "log" && !files.is_empty() => Ok(Some((id.clone(), files.to_vec()))),
        [first, ..] if first == "log" => bail!("use: log ID FILE..."),
        _ => Ok(None),
    }
}

/// Prints all lines that contain the id.
pub(crate) fn run(id: &str, files: &[String], output: Output) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(Path::new(file)).with_context(|| format!("{file}: can't be read"))?;
        lines.extend(lines_with_id(&text, id));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    for line in &lines {
        match output {
            Output::Table => println!("{}", row(line)),
            Output::Json => println!("{}", json(line)),
        }
    }
    Ok(())
}

/// The lines of a log that contain an id. Lines that are not JSON are skipped, because logs may also contain those of
/// other programs.
pub(crate) fn lines_with_id(text: &str, id: &str) -> Vec<Line> {
    text.lines().filter(|line| line.contains(id)).filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<Line> {
    let value = event::parse(line)?;
    let object = value.as_object()?;
    let text = |name: &str| object.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let mut fields: Vec<(String, String)> = object
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), field_text(value)))
        .collect();
    fields.sort();
    Some(Line { time: text("ts"), host: text("host"), message: text("msg"), fields })
}

fn field_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn row(line: &Line) -> String {
    let fields: Vec<String> = line.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!("{:30} {:24} {:44} {}", line.time, line.host, line.message, fields.join(" "))
}

fn json(line: &Line) -> Value {
    let fields = line.fields.iter().map(|(name, value)| (name.clone(), Value::from(value.clone())));
    let mut object: serde_json::Map<String, Value> = fields.collect();
    object.insert("ts".to_owned(), line.time.clone().into());
    object.insert("host".to_owned(), line.host.clone().into());
    object.insert("msg".to_owned(), line.message.clone().into());
    Value::Object(object)
}
