//! A simulated worker: fences, leases by its own clock, runs, and ends that it lists until they are acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use model::Resources;
use sched::{End, How, Info, Running};
use work::{Attempt, Task, Term};

/// What a worker makes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Done,
    Fenced,
    Refused,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub need: Resources,
    pub ends: Duration,
    pub how: How,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub info: Info,
    pub reachable: bool,
    pub fence: Term,
    pub lease: Duration,
    pub runs: BTreeMap<(Task, Attempt), Run>,
    pub ended: Vec<End>,
    pub numbers: u64,
    /// Highest run of each task that was stopped or has ended here.
    pub settled: BTreeMap<Task, Attempt>,
}

impl Worker {
    pub fn new(address: String, capacity: Resources) -> Worker {
        let info = Info {
            address,
            pool: "pool".to_owned(),
            zone: "zone".to_owned(),
            labels: vec!["kind".to_owned(), "rack".to_owned()],
            capacity,
            draining: false,
        };
        Worker {
            info,
            reachable: true,
            fence: 0,
            lease: Duration::ZERO,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
            settled: BTreeMap::new(),
        }
    }

    fn admit(&mut self, term: Term) -> bool {
        if term < self.fence {
            return false;
        }
        self.fence = term;
        true
    }

    /// Starts a run; its worker's clock is the world's.
    pub fn start(&mut self, now: Duration, term: Term, until: Duration, key: (Task, Attempt), run: Run) -> Reply {
        if !self.admit(term) {
            return Reply::Fenced;
        }
        self.lease = self.lease.max(until);
        let old = self.settled.get(&key.0).is_some_and(|attempt| key.1 <= *attempt);
        if until < now || (old && !self.runs.contains_key(&key)) {
            return Reply::Refused;
        }
        self.runs.entry(key).or_insert(run);
        Reply::Done
    }

    pub fn stop(&mut self, term: Term, task: Task, attempt: Attempt) -> Reply {
        if !self.admit(term) {
            return Reply::Fenced;
        }
        let settled = self.settled.entry(task).or_default();
        *settled = attempt.max(*settled);
        if self.runs.remove(&(task, attempt)).is_some() {
            self.end(task, attempt, How::Stopped);
        }
        Reply::Done
    }

    pub fn hold(&mut self, term: Term, until: Option<Duration>, acked: u64) -> Result<(Vec<Running>, Vec<End>), Reply> {
        if !self.admit(term) {
            return Err(Reply::Fenced);
        }
        self.lease = self.lease.max(until.unwrap_or_default());
        self.ended.retain(|end| end.number > acked);
        let running = self.runs.keys().map(|(task, attempt)| Running {
            task: *task,
            attempt: *attempt,
            saved: String::new(),
            percent: 50,
        });
        Ok((running.collect(), self.ended.clone()))
    }

    fn end(&mut self, task: Task, attempt: Attempt, how: How) {
        self.numbers += 1;
        let settled = self.settled.entry(task).or_default();
        *settled = attempt.max(*settled);
        self.ended.push(End { number: self.numbers, task, attempt, how, saved: String::new() });
    }

    /// Ends what is due, and everything once the lease is over.
    pub fn tick(&mut self, now: Duration) -> Vec<(Task, Attempt, How)> {
        let lapsed = now > self.lease;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| lapsed || run.ends <= now)
            .map(|(key, run)| (key.0, key.1, if run.ends <= now { run.how } else { How::Lapsed }))
            .collect();
        for (task, attempt, how) in &due {
            self.runs.remove(&(*task, *attempt));
            self.end(*task, *attempt, *how);
        }
        due
    }

    /// What its runs take.
    pub fn load(&self) -> Resources {
        self.runs.values().fold(Resources::ZERO, |sum, run| sum.checked_add(&run.need).expect("no overflow"))
    }
}
