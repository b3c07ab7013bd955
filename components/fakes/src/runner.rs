//! A fake worker that runs callers' tasks. It rejects orders from leaders of older terms, measures leases by its own
//! clock and reports the ends of runs until they are acknowledged. The current time is passed in by the caller.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Resources;
use sched::{End, RunOutcome, Running, WorkerInfo};
use work::{Attempt, Task, Term};

/// Most ends that a worker lists at once, unless a test sets another limit.
const MAX_LISTED_ENDS: usize = 500;

/// A worker's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The order was carried out.
    Done,
    /// Rejected: a leader with a higher term has called before.
    Fenced,
    /// Rejected: the attempt has already been settled, or the lease in the order has expired.
    Refused,
}

/// A run in progress.
#[derive(Clone, Debug)]
pub struct Run {
    /// Resources that it uses.
    pub need: Resources,
    /// Time at which it ends.
    pub ends_at: Duration,
    /// Outcome that it ends with.
    pub outcome: RunOutcome,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Runner {
    /// What the directory reports of it.
    pub info: WorkerInfo,
    /// Start time in milliseconds since 1970, if the platform reports it.
    pub born: Option<u64>,
    /// Whether calls reach it.
    pub reachable: bool,
    /// Highest term of a leader that has called.
    pub highest_term: Term,
    /// Time at which the leases of all runs expire.
    pub lease_until: Duration,
    /// Runs in progress.
    pub runs: BTreeMap<(Task, Attempt), Run>,
    /// Ends that have not been acknowledged yet.
    pub ended: Vec<End>,
    /// Number of the last end.
    pub last_end_number: u64,
    /// Most ends that it lists at once.
    pub max_listed_ends: usize,
    /// Highest attempt of each task that was stopped or has ended here. It and earlier ones are not started again.
    pub settled: BTreeMap<Task, Attempt>,
}

impl Runner {
    /// Creates a worker without runs.
    pub fn new(address: String, capacity: Resources) -> Runner {
        let info = WorkerInfo {
            address,
            pool: "pool".to_owned(),
            zone: "zone".to_owned(),
            labels: vec!["kind".to_owned(), "rack".to_owned()],
            capacity,
            draining: false,
            evacuated: false,
        };
        Runner {
            info,
            born: None,
            reachable: true,
            highest_term: 0,
            lease_until: Duration::ZERO,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            max_listed_ends: MAX_LISTED_ENDS,
            settled: BTreeMap::new(),
        }
    }

    fn accept_term(&mut self, term: Term) -> bool {
        if term < self.highest_term {
            return false;
        }
        self.highest_term = term;
        true
    }

    /// Starts a run, which lasts until it ends or its lease expires. A run that is already in progress is kept.
    pub fn start(&mut self, now: Duration, term: Term, until: Duration, key: (Task, Attempt), run: Run) -> Reply {
        if !self.accept_term(term) {
            return Reply::Fenced;
        }
        self.lease_until = self.lease_until.max(until);
        let superseded = self.settled.get(&key.0).is_some_and(|attempt| key.1 <= *attempt);
        if until < now || (superseded && !self.runs.contains_key(&key)) {
            return Reply::Refused;
        }
        self.runs.entry(key).or_insert(run);
        Reply::Done
    }

    /// Stops a run. Whether or not it was in progress, orders to start this attempt or an earlier one are refused
    /// from then on.
    pub fn stop(&mut self, term: Term, task: Task, attempt: Attempt) -> Reply {
        if !self.accept_term(term) {
            return Reply::Fenced;
        }
        let settled = self.settled.entry(task).or_default();
        *settled = attempt.max(*settled);
        if self.runs.remove(&(task, attempt)).is_some() {
            self.record_end(task, attempt, RunOutcome::Stopped);
        }
        Reply::Done
    }

    /// Renews the leases of all runs and drops the ends that the caller acknowledges. Returns the runs in progress and
    /// the first ends that have not been acknowledged.
    ///
    /// # Errors
    /// [`Reply::Fenced`] if a leader with a higher term has called before.
    pub fn renew(
        &mut self,
        term: Term,
        until: Option<Duration>,
        acked: u64,
    ) -> Result<(Vec<Running>, Vec<End>), Reply> {
        if !self.accept_term(term) {
            return Err(Reply::Fenced);
        }
        self.lease_until = self.lease_until.max(until.unwrap_or_default());
        self.ended.retain(|end| end.number > acked);
        let running = self.runs.keys().map(|(task, attempt)| Running {
            task: *task,
            attempt: *attempt,
            checkpoint: String::new(),
            percent: 50,
        });
        Ok((running.collect(), self.ended.iter().take(self.max_listed_ends).cloned().collect()))
    }

    /// Whether a list of this many ends may lack some.
    pub fn is_truncated(&self, listed: usize) -> bool {
        listed >= self.max_listed_ends
    }

    fn record_end(&mut self, task: Task, attempt: Attempt, outcome: RunOutcome) {
        self.last_end_number += 1;
        let settled = self.settled.entry(task).or_default();
        *settled = attempt.max(*settled);
        self.ended.push(End { number: self.last_end_number, task, attempt, outcome, checkpoint: String::new() });
    }

    /// Ends runs that are due, and all others as lapsed once the lease has expired. Returns those that ended.
    pub fn tick(&mut self, now: Duration) -> Vec<(Task, Attempt, RunOutcome)> {
        let lease_expired = now > self.lease_until;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| lease_expired || run.ends_at <= now)
            .map(|(key, run)| (key.0, key.1, if run.ends_at <= now { run.outcome } else { RunOutcome::Lapsed }))
            .collect();
        for (task, attempt, outcome) in &due {
            self.runs.remove(&(*task, *attempt));
            self.record_end(*task, *attempt, *outcome);
        }
        due
    }

    /// Resources that all runs in progress use.
    ///
    /// # Panics
    /// If their sum overflows.
    pub fn used_resources(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.checked_add(&run.need).expect("no overflow"))
    }
}
