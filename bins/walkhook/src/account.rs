//! `account FILE...`: from the logs of all hosts, how many jobs of each queue were late, and what their time went on.

use std::collections::{BTreeMap, HashMap};
use std::path::Path;

use anyhow::{Context, Result, bail};
use serde::Serialize;
use serde_json::Value;
use tabled::{Table, Tabled};

use crate::cli::Output;

/// Numbers of the events that are counted; see docs/EVENTS.md.
mod event {
    pub const REFUSED: u64 = 611;
    pub const ENDED: u64 = 612;
    pub const ORDERED: u64 = 613;
    pub const RUN_ENDED: u64 = 615;
    pub const ADVICE: u64 = 616;
}

/// A cause stands out when it took this share of the time by which the job was late.
const NOTABLE: f64 = 0.5;

/// What the time of a late job went on, the most of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// Acceptance and room, before its first start.
    Waiting,
    /// Questions to the adviser, before its first start.
    Advice,
    /// Orders without an answer.
    LostOrder,
    /// Runs that failed.
    FailedRun,
    /// Runs whose leases ran out, or that were stopped for others.
    Interrupted,
    /// The runs that were done.
    Running,
}

/// What the logs tell of one job; times in milliseconds since 1970.
#[derive(Debug, Default)]
struct Job {
    queue: String,
    refused: u64,
    outcome: Option<String>,
    took: f64,
    objective: f64,
    ended: f64,
    orders: Vec<Order>,
    ends: Vec<End>,
    questions: Vec<Question>,
}

/// A question to the adviser.
#[derive(Debug)]
struct Question {
    asked: f64,
    answered: f64,
}

#[derive(Debug)]
struct Order {
    at: f64,
    task: String,
    answered: bool,
}

#[derive(Debug)]
struct End {
    at: f64,
    task: String,
    how: String,
}

/// A row of the account: the jobs of one queue.
#[derive(Debug, Default, Serialize, Tabled)]
struct Row {
    queue: String,
    completed: u64,
    failed: u64,
    cancelled: u64,
    /// Attempts that were refused, all together.
    refusals: u64,
    /// From acceptance to the first start, of half the jobs that were completed within, in milliseconds.
    first_start_p50_ms: u64,
    /// The same of 95 of 100.
    first_start_p95_ms: u64,
    late: u64,
    waiting: u64,
    advice: u64,
    lost_order: u64,
    failed_run: u64,
    interrupted: u64,
    running: u64,
}

/// The files, if the words ask for an account.
pub(crate) fn command(words: &[String]) -> Result<Option<Vec<String>>> {
    match words {
        [first, files @ ..] if first == "account" && !files.is_empty() => Ok(Some(files.to_vec())),
        [first, ..] if first == "account" => bail!("use: account FILE..."),
        _ => Ok(None),
    }
}

/// Prints the account of all jobs in the logs.
pub(crate) fn run(files: &[String], output: Output) -> Result<()> {
    let mut jobs = HashMap::new();
    for file in files {
        let text = std::fs::read_to_string(Path::new(file)).with_context(|| format!("{file}: can't be read"))?;
        text.lines().filter_map(parse).for_each(|line| take(&mut jobs, &line));
    }
    let rows = rows(jobs.into_values());
    match output {
        Output::Table => println!("{}", Table::new(&rows)),
        Output::Json => println!("{}", serde_json::to_string(&rows)?),
    }
    Ok(())
}

/// The event of a line. What isn't a line of ours is passed over: logs may hold other programs' lines.
fn parse(line: &str) -> Option<Value> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

/// Takes in one event.
fn take(jobs: &mut HashMap<String, Job>, event: &Value) {
    let text = |name: &str| event[name].as_str().unwrap_or_default();
    let task = text("task");
    let unit = if task.is_empty() { text("unit") } else { task };
    let id = if unit.is_empty() { text("job") } else { unit.split('.').next().unwrap_or_default() };
    let Some(at) = millis(text("ts")).filter(|_| !id.is_empty()) else { return };
    let job = jobs.entry(id.to_owned()).or_default();
    let task = task.to_owned();
    match event["event"].as_u64() {
        Some(event::REFUSED) => job.refused += 1,
        Some(event::ENDED) => {
            job.queue = text("queue").to_owned();
            job.outcome = Some(text("outcome").to_owned());
            job.took = event["took_ms"].as_f64().unwrap_or_default();
            job.objective = event["objective_ms"].as_f64().unwrap_or_default();
            job.ended = at;
        }
        Some(event::ORDERED) => job.orders.push(Order { at, task, answered: text("outcome") == "Started" }),
        Some(event::ADVICE) => {
            let took = event["took_ms"].as_f64().unwrap_or_default();
            job.questions.push(Question { asked: at - took, answered: at });
        }
        Some(event::RUN_ENDED) => job.ends.push(End { at, task, how: text("how").to_owned() }),
        _ => {}
    }
}

/// A time of day in milliseconds since 1970.
fn millis(text: &str) -> Option<f64> {
    let time = humantime::parse_rfc3339(text).ok()?;
    let since = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    Some(since.as_secs_f64() * 1000.0)
}

/// The jobs by queue. Of a job without an end only its refusals are known, and not its queue.
fn rows(jobs: impl Iterator<Item = Job>) -> Vec<Row> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    let mut waits: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for job in jobs {
        let row = rows.entry(job.queue.clone()).or_default();
        row.queue = if job.queue.is_empty() { "not ended".to_owned() } else { job.queue.clone() };
        row.refusals += job.refused;
        match job.outcome.as_deref() {
            Some("Completed") => {
                row.completed += 1;
                waits.entry(job.queue.clone()).or_default().push(job.first_start() - job.accepted());
            }
            Some("Failed") => row.failed += 1,
            Some("Cancelled") => row.cancelled += 1,
            _ => {}
        }
        if job.outcome.as_deref() == Some("Completed") && job.took > job.objective {
            row.late += 1;
            *row.by(cause(&job)) += 1;
        }
    }
    for (queue, mut waits) in waits {
        waits.sort_by(f64::total_cmp);
        if let Some(row) = rows.get_mut(&queue) {
            row.first_start_p50_ms = quantile(&waits, 0.5);
            row.first_start_p95_ms = quantile(&waits, 0.95);
        }
    }
    rows.into_values().collect()
}

/// The value below which so many of the sorted ones lie, rounded.
fn quantile(sorted: &[f64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).map_or(0, |value| value.max(0.0).round() as u64)
}

impl Job {
    fn accepted(&self) -> f64 {
        self.ended - self.took
    }

    /// When its first task was started, or its end.
    fn first_start(&self) -> f64 {
        self.orders.iter().map(|order| order.at).fold(self.ended, f64::min)
    }

    /// How long before its first start a question was under way.
    fn asking(&self) -> f64 {
        let (accepted, first) = (self.accepted(), self.first_start());
        let mut questions: Vec<&Question> = self.questions.iter().collect();
        questions.sort_by(|a, b| a.asked.total_cmp(&b.asked));
        let mut covered = accepted;
        let mut sum = 0.0;
        for question in questions {
            let (from, until) = (question.asked.max(covered), question.answered.min(first));
            sum += (until - from).max(0.0);
            covered = covered.max(until);
        }
        sum
    }
}

impl Row {
    fn by(&mut self, cause: Cause) -> &mut u64 {
        match cause {
            Cause::Waiting => &mut self.waiting,
            Cause::Advice => &mut self.advice,
            Cause::LostOrder => &mut self.lost_order,
            Cause::FailedRun => &mut self.failed_run,
            Cause::Interrupted => &mut self.interrupted,
            Cause::Running => &mut self.running,
        }
    }
}

/// What most of a job's time beyond its useful runs went on; if nothing stands out, the runs themselves took long.
fn cause(job: &Job) -> Cause {
    let accepted = job.accepted();
    let waited = job.first_start() - accepted;
    let asking = job.asking();
    let mut spent = BTreeMap::from([(Cause::Waiting, waited - asking), (Cause::Advice, asking)]);
    for order in job.orders.iter().filter(|order| !order.answered) {
        *spent.entry(Cause::LostOrder).or_default() += next_start(job, &order.task, order.at) - order.at;
    }
    for end in &job.ends {
        let cause = match end.how.as_str() {
            "Done" => continue,
            "Failed" => Cause::FailedRun,
            _ => Cause::Interrupted,
        };
        // What was lost is the run so far and the wait for the next one.
        let began = job.orders.iter().filter(|order| order.task == end.task && order.at < end.at);
        let began = began.map(|order| order.at).fold(f64::NEG_INFINITY, f64::max);
        *spent.entry(cause).or_default() += next_start(job, &end.task, end.at) - began.max(accepted);
    }
    let (cause, most) = spent.into_iter().max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((Cause::Running, 0.0));
    if most > NOTABLE * (job.took - job.objective) { cause } else { Cause::Running }
}

/// When a task was next started after `at`, or the job's end.
fn next_start(job: &Job, task: &str, at: f64) -> f64 {
    let later = job.orders.iter().filter(|order| order.task == task && order.at > at && order.answered);
    later.map(|order| order.at).fold(job.ended, f64::min)
}
