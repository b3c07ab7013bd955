//! A stand-in for a worker that runs callers' tasks: it fences by the leader's term, leases by its own clock, and
//! lists ends until they are acknowledged. Time is an argument.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Resources;
use sched::{End, RunOutcome, Running, WorkerInfo};
use work::{Attempt, Task, Term};

/// What a runner makes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was taken.
    Done,
    /// A leader with a higher term was here.
    Fenced,
    /// It was refused: the run is old, or the order came late.
    Refused,
}

/// A task that runs.
#[derive(Clone, Debug)]
pub struct Run {
    /// The room that it takes.
    pub need: Resources,
    /// When it ends.
    pub ends_at: Duration,
    /// How it ends.
    pub outcome: RunOutcome,
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Runner {
    /// What it says of itself.
    pub info: WorkerInfo,
    /// When it started, in milliseconds since 1970, where the platform tells.
    pub born: Option<u64>,
    /// Whether orders and renewals reach it.
    pub reachable: bool,
    /// Highest term seen.
    pub highest_term: Term,
    /// End of all leases.
    pub lease_until: Duration,
    /// What runs.
    pub runs: BTreeMap<(Task, Attempt), Run>,
    /// Ends that aren't acknowledged.
    pub ended: Vec<End>,
    /// Number of the last end.
    pub last_end_number: u64,
    /// Highest run of each task that was stopped or has ended here.
    pub settled: BTreeMap<Task, Attempt>,
}

impl Runner {
    /// An empty one.
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
            settled: BTreeMap::new(),
        }
    }

    fn admit(&mut self, term: Term) -> bool {
        if term < self.highest_term {
            return false;
        }
        self.highest_term = term;
        true
    }

    /// Starts a run until its time is over or the lease is.
    pub fn start(&mut self, now: Duration, term: Term, until: Duration, key: (Task, Attempt), run: Run) -> Reply {
        if !self.admit(term) {
            return Reply::Fenced;
        }
        self.lease_until = self.lease_until.max(until);
        let old = self.settled.get(&key.0).is_some_and(|attempt| key.1 <= *attempt);
        if until < now || (old && !self.runs.contains_key(&key)) {
            return Reply::Refused;
        }
        self.runs.entry(key).or_insert(run);
        Reply::Done
    }

    /// Stops a run. One that isn't there is refused from then on.
    pub fn stop(&mut self, term: Term, task: Task, attempt: Attempt) -> Reply {
        if !self.admit(term) {
            return Reply::Fenced;
        }
        let settled = self.settled.entry(task).or_default();
        *settled = attempt.max(*settled);
        if self.runs.remove(&(task, attempt)).is_some() {
            self.end(task, attempt, RunOutcome::Stopped);
        }
        Reply::Done
    }

    /// Renews all leases and acknowledges ends.
    pub fn renew(
        &mut self,
        term: Term,
        until: Option<Duration>,
        acked: u64,
    ) -> Result<(Vec<Running>, Vec<End>), Reply> {
        if !self.admit(term) {
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
        Ok((running.collect(), self.ended.clone()))
    }

    fn end(&mut self, task: Task, attempt: Attempt, how: RunOutcome) {
        self.last_end_number += 1;
        let settled = self.settled.entry(task).or_default();
        *settled = attempt.max(*settled);
        self.ended.push(End { number: self.last_end_number, task, attempt, outcome: how, checkpoint: String::new() });
    }

    /// Ends what is due, and everything once the lease is over.
    pub fn tick(&mut self, now: Duration) -> Vec<(Task, Attempt, RunOutcome)> {
        let lapsed = now > self.lease_until;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= now)
            .map(|(key, run)| (key.0, key.1, if run.ends_at <= now { run.outcome } else { RunOutcome::Lapsed }))
            .collect();
        for (task, attempt, how) in &due {
            self.runs.remove(&(*task, *attempt));
            self.end(*task, *attempt, *how);
        }
        due
    }

    /// What its runs take.
    pub fn used_resources(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.checked_add(&run.need).expect("no overflow"))
    }
}
