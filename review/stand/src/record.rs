//! What was sent, answered and run: written to `record.txt`, and kept to check the rules.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A run that a minion began on an order.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub minion: String,
    pub began: Duration,
    pub end: Option<End>,
}

/// How and when a run ended.
#[derive(Clone, Debug)]
pub struct End {
    pub how: &'static str,
    pub at: Duration,
    pub number: u64,
    /// When `LastSeen` reached the number.
    pub noted: Option<Duration>,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    pub runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Record { began: Instant::now(), file, runs: Mutex::new(Vec::new()) })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}", self.now().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file.lock().expect("file"), "{line}");
    }

    /// Writes a line that isn't shown.
    pub fn detail(&self, text: &str) {
        let _ = writeln!(self.file.lock().expect("file"), "{:9.3} s  {text}", self.now().as_secs_f64());
    }

    pub fn started(&self, task: &str, attempt: u64, minion: &str) {
        self.detail(&format!("{minion} starts {task} attempt {attempt}"));
        let run = Run { task: task.to_owned(), attempt, minion: minion.to_owned(), began: self.now(), end: None };
        self.runs.lock().expect("runs").push(run);
    }

    pub fn ended(&self, task: &str, attempt: u64, minion: &str, how: &'static str, number: u64) {
        self.detail(&format!("{minion} ends {task} attempt {attempt}: {how}, number {number}"));
        let at = self.now();
        self.change(|run| {
            if run.end.is_none() && run.task == task && run.attempt == attempt && run.minion == minion {
                run.end = Some(End { how, at, number, noted: None });
            }
        });
    }

    /// Takes note that `LastSeen` of a minion has reached this number.
    pub fn noted(&self, minion: &str, last_seen: u64) {
        let at = self.now();
        self.change(|run| {
            if run.minion == minion
                && let Some(end) = &mut run.end
                && end.number <= last_seen
            {
                end.noted.get_or_insert(at);
            }
        });
    }

    fn change(&self, change: impl FnMut(&mut Run)) {
        self.runs.lock().expect("runs").iter_mut().for_each(change);
    }

    /// TWICE: starts of a task after one of its runs has ended `done`, where that end is taken note of at that time or
    /// later; and tasks that run twice at the same time. (No lease of a minion lapses in these cases unless the record
    /// says so.)
    pub fn twice(&self) -> Vec<String> {
        let runs = self.runs.lock().expect("runs");
        let mut found = Vec::new();
        for run in runs.iter() {
            for other in runs.iter().filter(|other| other.task == run.task && other.began < run.began) {
                match &other.end {
                    Some(end) if end.how == "done" && end.at < run.began && end.noted.is_some() => found.push(format!(
                        "{} started as attempt {} on {} at {:.3} s, after its attempt {} had ended done on {} at {:.3} s \
                         (number {}; LastSeen reached it at {:.3} s)",
                        run.task, run.attempt, run.minion, run.began.as_secs_f64(), other.attempt, other.minion,
                        end.at.as_secs_f64(), end.number, end.noted.unwrap_or_default().as_secs_f64(),
                    )),
                    None => found.push(format!("{} runs twice: {run:?} {other:?}", run.task)),
                    Some(end) if end.at > run.began => {
                        found.push(format!("{} ran twice at the same time: {run:?} {other:?}", run.task));
                    }
                    Some(_) => {}
                }
            }
        }
        found
    }
}
