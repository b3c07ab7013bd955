//! `account --usage FILE...`: what the jobs of each queue used over time, from the logs of all hosts.
//!
//! Cores are an upper estimate: the log names only the largest task of a job, and each run counts as one of these.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, UNIX_EPOCH};

use anyhow::{Result, bail};
use serde::Serialize;
use serde_json::Value;
use tabled::Tabled;

use crate::cli::Output;
use crate::{event, print};

/// Time that a row covers. Rows begin at multiples of it since 1970.
const INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of intervals, about two days. A single line with a wrong date would otherwise give millions of rows.
const MAX_INTERVALS: usize = 100_000;
/// Stands for the queue of a job whose acceptance isn't in the logs.
const UNKNOWN_QUEUE: &str = "unknown";

/// What was short when a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Budget {
    /// Free resources on workers.
    Room,
    /// Time of the advice service.
    Advice,
    /// Starts that the leader can order.
    Starts,
    /// None of these: the refusal has another reason, or an older version logged it.
    Other,
}

impl Budget {
    fn from_name(name: &str) -> Budget {
        match name {
            "room" => Budget::Room,
            "advice" => Budget::Advice,
            "starts" => Budget::Starts,
            _ => Budget::Other,
        }
    }
}

/// An accepted job.
#[derive(Debug)]
struct Job {
    queue: String,
    /// Cores of its largest task.
    cores: f64,
}

/// What one log line counts.
#[derive(Debug)]
enum Count {
    Accepted,
    /// The queue is empty if the line lacks it.
    Refused {
        queue: String,
        budget: Budget,
    },
    Started,
    Question {
        took: f64,
        tickets: u64,
    },
}

/// A line that is counted. Points in time are in milliseconds since 1970, durations in milliseconds.
#[derive(Debug)]
struct Counted {
    at: f64,
    job: String,
    what: Count,
}

/// A run that its worker confirmed.
#[derive(Debug)]
struct Run {
    at: f64,
    task: String,
    attempt: u64,
    worker: String,
}

/// The contents of the logs.
#[derive(Debug)]
struct Logs {
    jobs: HashMap<String, Job>,
    counted: Vec<Counted>,
    runs: Vec<Run>,
    /// Ends of runs, by task and attempt.
    run_ends: HashMap<(String, u64), f64>,
    job_ends: HashMap<String, f64>,
    /// When the runs on a worker had certainly ended, because it was gone or its leases had expired.
    worker_ends: HashMap<String, Vec<f64>>,
    first: f64,
    last: f64,
}

/// One queue in one interval: a row of the output.
#[derive(Clone, Debug, Default, Serialize, Tabled)]
struct Row {
    /// Start of the interval.
    time: String,
    queue: String,
    /// Mean number of runs.
    runs: f64,
    /// Upper estimate of their cores.
    cores: f64,
    /// Questions to the advice service that ended.
    questions: u64,
    /// Their mean duration, in milliseconds.
    question_ms: f64,
    /// Tickets in their answers.
    tickets: u64,
    /// Starts that workers confirmed.
    starts: u64,
    /// Jobs that were accepted.
    accepted: u64,
    /// Attempts to submit a job that were refused, by the budget that was short.
    refused_room: u64,
    refused_advice: u64,
    refused_starts: u64,
    refused_other: u64,
}

/// The rows of each queue, one for each interval.
struct Usage {
    /// Start of the first interval.
    start: f64,
    intervals: usize,
    rows: BTreeMap<String, Vec<Row>>,
}

/// Prints what each queue used in each interval.
pub(crate) fn run(files: &[String], output: Output) -> Result<()> {
    let mut logs = Logs::new();
    event::read(files, |event| logs.record(event))?;
    print::rows(&logs.usage()?.into_rows(), output)
}

fn interval_millis() -> f64 {
    INTERVAL.as_secs_f64() * 1000.0
}

/// The number of cores at the beginning of resources such as `4.5 cores, 100 MiB`.
fn cores(resources: &str) -> f64 {
    resources.split_once(" cores").and_then(|(cores, _)| cores.parse().ok()).unwrap_or_default()
}

impl Logs {
    fn new() -> Logs {
        Logs {
            jobs: HashMap::new(),
            counted: Vec::new(),
            runs: Vec::new(),
            run_ends: HashMap::new(),
            job_ends: HashMap::new(),
            worker_ends: HashMap::new(),
            first: f64::INFINITY,
            last: f64::NEG_INFINITY,
        }
    }

    fn record(&mut self, event: &Value) {
        let Some(at) = event::unix_millis(event) else { return };
        self.first = self.first.min(at);
        self.last = self.last.max(at);
        let job = event::job_id(event).to_owned();
        let text = |name: &str| event::text(event, name).to_owned();
        let what = match event["event"].as_u64() {
            Some(event::JOB_ACCEPTED) => {
                let accepted = Job { queue: text("queue"), cores: cores(&text("largest")) };
                self.jobs.insert(job.clone(), accepted);
                Count::Accepted
            }
            Some(event::JOB_REFUSED) => {
                Count::Refused { queue: text("queue"), budget: Budget::from_name(&text("budget")) }
            }
            Some(event::RUN_STARTED) if event["outcome"] == "Started" => {
                self.runs.push(Run { at, task: text("task"), attempt: attempt(event), worker: text("worker") });
                Count::Started
            }
            Some(event::ADVICE) => Count::Question {
                took: event["took_ms"].as_f64().unwrap_or_default(),
                tickets: event["healthy"].as_u64().unwrap_or_default(),
            },
            Some(event::RUN_ENDED | event::RUN_LOST) => {
                return record_first(&mut self.run_ends, (text("task"), attempt(event)), at);
            }
            Some(event::JOB_ENDED) => return record_first(&mut self.job_ends, job, at),
            Some(event::WORKER_GONE | event::WORKER_LEASES_EXPIRED) => {
                return self.worker_ends.entry(text("worker")).or_default().push(at);
            }
            _ => return,
        };
        self.counted.push(Counted { at, job, what });
    }

    /// Counts everything by queue and interval.
    fn usage(mut self) -> Result<Usage> {
        let mut usage = Usage::new(self.first, self.last)?;
        for job in self.jobs.values() {
            usage.queue_rows(&job.queue);
        }
        for counted in &self.counted {
            if let Some(row) = usage.row(self.queue(counted), counted.at) {
                row.count(&counted.what);
            }
        }
        self.runs.sort_by(|a, b| a.task.cmp(&b.task).then(a.at.total_cmp(&b.at)));
        for (index, run) in self.runs.iter().enumerate() {
            let job = self.jobs.get(event::job_of(&run.task));
            let queue = job.map_or(UNKNOWN_QUEUE, |job| &job.queue);
            usage.add_run(queue, job.map_or(0.0, |job| job.cores), run.at, self.run_end(run, self.runs.get(index + 1)));
        }
        Ok(usage)
    }

    /// The queue of a job by its acceptance. A line about a refusal may name the queue itself, since the job may never
    /// be accepted.
    fn queue<'a>(&'a self, counted: &'a Counted) -> &'a str {
        match &counted.what {
            Count::Refused { queue, .. } if !queue.is_empty() => queue,
            _ => self.jobs.get(&counted.job).map_or(UNKNOWN_QUEUE, |job| &job.queue),
        }
    }

    /// End of a run: its own, that of its job or worker, the next start of its task, or the last line of the logs,
    /// whichever is first.
    fn run_end(&self, run: &Run, next: Option<&Run>) -> f64 {
        let own = self.run_ends.get(&(run.task.clone(), run.attempt)).copied();
        let job = self.job_ends.get(event::job_of(&run.task)).copied();
        let next = next.filter(|next| next.task == run.task).map(|next| next.at);
        let worker = self.worker_ends.get(&run.worker).into_iter().flatten().copied().filter(|end| *end >= run.at);
        [own, job, next].into_iter().flatten().chain(worker).fold(self.last, f64::min)
    }
}

fn attempt(event: &Value) -> u64 {
    event["attempt"].as_u64().unwrap_or_default()
}

/// Records the time of an end. The next leader may log an end again.
fn record_first<K: Eq + std::hash::Hash>(ends: &mut HashMap<K, f64>, key: K, at: f64) {
    let end = ends.entry(key).or_insert(at);
    *end = end.min(at);
}

impl Usage {
    /// No usage in the time from `first` to `last`, which are infinite if the logs have no events.
    fn new(first: f64, last: f64) -> Result<Usage> {
        if first > last {
            return Ok(Usage { start: 0.0, intervals: 0, rows: BTreeMap::new() });
        }
        let start = (first / interval_millis()).floor() * interval_millis();
        let intervals = ((last - start) / interval_millis()) as usize + 1;
        if intervals > MAX_INTERVALS {
            let days = INTERVAL.as_secs() * intervals as u64 / 86_400;
            bail!("the logs cover {days} days; give the lines of two days at most");
        }
        Ok(Usage { start, intervals, rows: BTreeMap::new() })
    }

    /// The rows of a queue, which are all 0 at first.
    fn queue_rows(&mut self, queue: &str) -> &mut Vec<Row> {
        let intervals = self.intervals;
        let empty = Row { queue: queue.to_owned(), ..Row::default() };
        self.rows.entry(queue.to_owned()).or_insert_with(|| vec![empty; intervals])
    }

    fn row(&mut self, queue: &str, at: f64) -> Option<&mut Row> {
        let index = ((at - self.start) / interval_millis()) as usize;
        self.queue_rows(queue).get_mut(index)
    }

    /// Adds a run to all intervals that it overlaps, weighted by the share of the interval.
    fn add_run(&mut self, queue: &str, cores: f64, from: f64, until: f64) {
        let start = self.start;
        let first = ((from - start) / interval_millis()) as usize;
        for (index, row) in self.queue_rows(queue).iter_mut().enumerate().skip(first) {
            let row_start = start + index as f64 * interval_millis();
            if row_start >= until {
                return;
            }
            let overlap = until.min(row_start + interval_millis()) - from.max(row_start);
            let share = overlap.max(0.0) / interval_millis();
            row.runs += share;
            row.cores += share * cores;
        }
    }

    /// All rows in order of time.
    fn into_rows(self) -> Vec<Row> {
        let start = self.start;
        let time = |index: usize| {
            let since = Duration::from_secs_f64((start + index as f64 * interval_millis()) / 1000.0);
            humantime::format_rfc3339_seconds(UNIX_EPOCH + since).to_string()
        };
        let mut rows: Vec<(usize, Row)> =
            self.rows.into_values().flat_map(|rows| rows.into_iter().enumerate()).collect();
        rows.sort_by_key(|(index, _)| *index);
        rows.into_iter().map(|(index, row)| row.finish(time(index))).collect()
    }
}

impl Row {
    fn count(&mut self, what: &Count) {
        match what {
            Count::Accepted => self.accepted += 1,
            Count::Started => self.starts += 1,
            Count::Refused { budget: Budget::Room, .. } => self.refused_room += 1,
            Count::Refused { budget: Budget::Advice, .. } => self.refused_advice += 1,
            Count::Refused { budget: Budget::Starts, .. } => self.refused_starts += 1,
            Count::Refused { budget: Budget::Other, .. } => self.refused_other += 1,
            Count::Question { took, tickets } => {
                self.questions += 1;
                self.question_ms += took;
                self.tickets += tickets;
            }
        }
    }

    /// Sets the time, turns the sum of durations into their mean, and rounds.
    fn finish(self, time: String) -> Row {
        let tenths = |value: f64| (value * 10.0).round() / 10.0;
        let question_ms = (self.question_ms / self.questions.max(1) as f64).round();
        Row { time, runs: tenths(self.runs), cores: tenths(self.cores), question_ms, ..self }
    }
}
