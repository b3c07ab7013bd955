//! `account FILE...`: counts the jobs of each queue from the logs of all hosts, with the late ones by the cause of
//! their delay.

use std::collections::{BTreeMap, HashMap};

use anyhow::{Result, bail};
use serde::Serialize;
use serde_json::Value;
use tabled::Tabled;

use crate::cli::Output;
use crate::{event, print};

/// Share of the time by which a job was late above which a cause counts as its main cause.
const MIN_CAUSE_SHARE: f64 = 0.5;

/// Main cause of the delay of a late job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// Waiting for acceptance and for free resources before the first start.
    Waiting,
    /// Requests to the adviser before the first start.
    Advice,
    /// Start orders that got no answer.
    LostOrder,
    /// Runs that failed.
    FailedRun,
    /// Runs whose leases expired, or that were stopped in favour of others.
    Interrupted,
    /// The successful runs themselves.
    Running,
}

/// Events of one job in the logs. Points in time are in milliseconds since 1970, durations in milliseconds.
#[derive(Debug, Default)]
struct JobRecord {
    queue: String,
    refused: u64,
    outcome: Option<String>,
    duration: f64,
    objective: f64,
    ended_at: f64,
    orders: Vec<Order>,
    run_ends: Vec<RunEnd>,
    advice_requests: Vec<AdviceRequest>,
}

/// A request to the adviser.
#[derive(Debug)]
struct AdviceRequest {
    sent_at: f64,
    answered_at: f64,
}

#[derive(Debug)]
struct Order {
    at: f64,
    task: String,
    answered: bool,
}

#[derive(Debug)]
struct RunEnd {
    at: f64,
    task: String,
    how: String,
}

/// The jobs of one queue: a row of the output.
#[derive(Debug, Default, Serialize, Tabled)]
struct Row {
    queue: String,
    completed: u64,
    failed: u64,
    cancelled: u64,
    /// Total number of refused attempts.
    refusals: u64,
    /// Median time from acceptance to the first start of completed jobs, in milliseconds.
    first_start_p50_ms: u64,
    /// 95th percentile of the same time.
    first_start_p95_ms: u64,
    late: u64,
    waiting: u64,
    advice: u64,
    lost_order: u64,
    failed_run: u64,
    interrupted: u64,
    running: u64,
}

/// Parses the arguments of `account`. Returns `None` for another command.
pub(crate) fn command(arguments: &[String]) -> Result<Option<Vec<String>>> {
    match arguments {
        [first, files @ ..] if first == "account" && !files.is_empty() => Ok(Some(files.to_vec())),
        [first, ..] if first == "account" => bail!("use: account [--usage] FILE..."),
        _ => Ok(None),
    }
}

/// Prints the counts of all jobs in the logs.
pub(crate) fn run(files: &[String], output: Output) -> Result<()> {
    let mut jobs = HashMap::new();
    event::read(files, |event| record_event(&mut jobs, event))?;
    print::rows(&rows_by_queue(jobs.into_values()), output)
}

/// Adds an event to the record of its job.
fn record_event(jobs: &mut HashMap<String, JobRecord>, event: &Value) {
    let text = |name: &str| event::text(event, name);
    let id = event::job_id(event);
    let Some(at) = event::unix_millis(event).filter(|_| !id.is_empty()) else { return };
    let job = jobs.entry(id.to_owned()).or_default();
    let task = text("task").to_owned();
    match event["event"].as_u64() {
        Some(event::JOB_REFUSED) => job.refused += 1,
        Some(event::JOB_ENDED) => {
            job.queue = text("queue").to_owned();
            job.outcome = Some(text("outcome").to_owned());
            job.duration = event["took_ms"].as_f64().unwrap_or_default();
            job.objective = event["objective_ms"].as_f64().unwrap_or_default();
            job.ended_at = at;
        }
        Some(event::RUN_STARTED) => job.orders.push(Order { at, task, answered: text("outcome") == "Started" }),
        Some(event::ADVICE) => {
            let took = event["took_ms"].as_f64().unwrap_or_default();
            job.advice_requests.push(AdviceRequest { sent_at: at - took, answered_at: at });
        }
        Some(event::RUN_ENDED) => job.run_ends.push(RunEnd { at, task, how: text("how").to_owned() }),
        _ => {}
    }
}

/// Summarizes the jobs by queue. Only the event at the end of a job names its queue, so the refusals of jobs that have
/// not ended are counted in a row of their own.
fn rows_by_queue(jobs: impl Iterator<Item = JobRecord>) -> Vec<Row> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    let mut start_delays: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for job in jobs {
        let row = rows.entry(job.queue.clone()).or_default();
        row.queue = if job.queue.is_empty() { "not ended".to_owned() } else { job.queue.clone() };
        row.refusals += job.refused;
        match job.outcome.as_deref() {
            Some("Completed") => {
                row.completed += 1;
                start_delays.entry(job.queue.clone()).or_default().push(job.first_start_at() - job.accepted_at());
            }
            Some("Failed") => row.failed += 1,
            Some("Cancelled") => row.cancelled += 1,
            _ => {}
        }
        if job.outcome.as_deref() == Some("Completed") && job.duration > job.objective {
            row.late += 1;
            *row.late_count(main_cause(&job)) += 1;
        }
    }
    for (queue, mut start_delays) in start_delays {
        start_delays.sort_by(f64::total_cmp);
        if let Some(row) = rows.get_mut(&queue) {
            row.first_start_p50_ms = quantile(&start_delays, 0.5);
            row.first_start_p95_ms = quantile(&start_delays, 0.95);
        }
    }
    rows.into_values().collect()
}

/// The rounded value at a quantile of sorted values, 0 if there are none.
fn quantile(sorted: &[f64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).map_or(0, |value| value.max(0.0).round() as u64)
}

impl JobRecord {
    fn accepted_at(&self) -> f64 {
        self.ended_at - self.duration
    }

    /// Time of its first start order, or of its end if there was none.
    fn first_start_at(&self) -> f64 {
        self.orders.iter().map(|order| order.at).fold(self.ended_at, f64::min)
    }

    /// Time before the first start during which at least one request to the adviser was in progress.
    fn advice_time(&self) -> f64 {
        let (accepted, first) = (self.accepted_at(), self.first_start_at());
        let mut advice_requests: Vec<&AdviceRequest> = self.advice_requests.iter().collect();
        advice_requests.sort_by(|a, b| a.sent_at.total_cmp(&b.sent_at));
        let mut covered = accepted;
        let mut sum = 0.0;
        for request in advice_requests {
            let (from, until) = (request.sent_at.max(covered), request.answered_at.min(first));
            sum += (until - from).max(0.0);
            covered = covered.max(until);
        }
        sum
    }
}

impl Row {
    fn late_count(&mut self, cause: Cause) -> &mut u64 {
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

/// The cause that took most of a late job's time apart from its successful runs. If no cause exceeds the minimum share,
/// the runs themselves took too long.
fn main_cause(job: &JobRecord) -> Cause {
    let accepted = job.accepted_at();
    let start_delay = job.first_start_at() - accepted;
    let advice_time = job.advice_time();
    let mut time_by_cause = BTreeMap::from([(Cause::Waiting, start_delay - advice_time), (Cause::Advice, advice_time)]);
    for order in job.orders.iter().filter(|order| !order.answered) {
        *time_by_cause.entry(Cause::LostOrder).or_default() += next_start_at(job, &order.task, order.at) - order.at;
    }
    for end in &job.run_ends {
        let cause = match end.how.as_str() {
            "Done" => continue,
            "Failed" => Cause::FailedRun,
            _ => Cause::Interrupted,
        };
        // The time lost is that of the run so far and the wait for the next one.
        let started_at = job.orders.iter().filter(|order| order.task == end.task && order.at < end.at);
        let started_at = started_at.map(|order| order.at).fold(f64::NEG_INFINITY, f64::max);
        *time_by_cause.entry(cause).or_default() += next_start_at(job, &end.task, end.at) - started_at.max(accepted);
    }
    let (cause, longest) =
        time_by_cause.into_iter().max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((Cause::Running, 0.0));
    if longest > MIN_CAUSE_SHARE * (job.duration - job.objective) { cause } else { Cause::Running }
}

/// Time of the next answered start order of a task after `at`, or of the job's end if there is none.
fn next_start_at(job: &JobRecord, task: &str, at: f64) -> f64 {
    let later_starts = job.orders.iter().filter(|order| order.task == task && order.at > at && order.answered);
    later_starts.map(|order| order.at).fold(job.ended_at, f64::min)
}
