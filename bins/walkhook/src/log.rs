//! `log ID FILE...`: joins the logs of several hosts and prints the life of one job or request, in order of time.

use std::path::Path;

use anyhow::{Context, Result, bail};
use serde_json::Value;

use crate::cli::Output;

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Line {
    /// Time of day at the host that wrote it.
    time: String,
    /// The host.
    host: String,
    /// What happened.
    text: String,
    /// Its other fields.
    fields: Vec<(String, String)>,
}

/// Fields that every line has.
const COMMON: [&str; 5] = ["ts", "host", "msg", "level", "event"];

/// The id and the files, if the words ask for a log.
pub(crate) fn command(words: &[String]) -> Result<Option<(String, Vec<String>)>> {
    match words {
        [first, id, files @ ..] if first == "log" && !files.is_empty() => Ok(Some((id.clone(), files.to_vec()))),
        [first, ..] if first == "log" => bail!("use: log ID FILE..."),
        _ => Ok(None),
    }
}

/// Prints all lines that name the id.
pub(crate) fn run(id: &str, files: &[String], output: Output) -> Result<()> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(Path::new(file)).with_context(|| format!("{file}: can't be read"))?;
        lines.extend(select(&text, id));
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

/// The lines of a log that name an id. What isn't a line of ours is passed over: logs may hold other programs' lines.
pub(crate) fn select(text: &str, id: &str) -> Vec<Line> {
    text.lines().filter(|line| line.contains(id)).filter_map(parse).collect()
}

fn parse(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let object = value.as_object()?;
    let text = |name: &str| object.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let mut fields: Vec<(String, String)> = object
        .iter()
        .filter(|(name, _)| !COMMON.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), plain(value)))
        .collect();
    fields.sort();
    Some(Line { time: text("ts"), host: text("host"), text: text("msg"), fields })
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn row(line: &Line) -> String {
    let fields: Vec<String> = line.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!("{:30} {:24} {:44} {}", line.time, line.host, line.text, fields.join(" "))
}

fn json(line: &Line) -> Value {
    let fields = line.fields.iter().map(|(name, value)| (name.clone(), Value::from(value.clone())));
    let mut object: serde_json::Map<String, Value> = fields.collect();
    object.insert("ts".to_owned(), line.time.clone().into());
    object.insert("host".to_owned(), line.host.clone().into());
    object.insert("msg".to_owned(), line.text.clone().into());
    Value::Object(object)
}
