//! Tasks that crash each worker that starts them: the worker is silent from the next step on, its entry stays in the
//! list for a while, and its machine comes back as another worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fakes::runner::Runner;
use rand::Rng;
use sched::WorkerInfo;
use work::{Attempt, JobId, Outcome, State, Task, Term, WorkerId, WorkerIncarnation};

use super::{MAX_ATTEMPTS, World};

/// One in this many jobs has a task that crashes workers: its first one.
const CRASHING_JOB_INTERVAL: u64 = 6;
/// Number of workers that may crash under a task before it is given up, and of starts that may follow; a bound set by
/// the platform.
const MAX_CRASHES: usize = 3;
const MAX_FURTHER_STARTS: usize = 2;
/// A task under which this many workers have ended may be given up.
const MIN_ENDS_TO_GIVE_UP: u32 = 2;
/// How long a crashed worker stays in the list, in milliseconds: until three heartbeats are missed.
const LISTED_AFTER_CRASH_MS: std::ops::Range<u64> = 1000..4500;
/// How long its machine is down, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 500..5000;
/// The same if both may take longer than leases of 6 s.
const LONG_DOWNTIME_MS: std::ops::Range<u64> = 500..12_000;

/// State of the tasks that crash workers.
#[derive(Default)]
pub(super) struct Crashes {
    /// Workers that crash in the next step.
    pending: Vec<WorkerId>,
    /// Entries of crashed workers, and until when they are listed.
    expiring_entries: BTreeMap<WorkerId, (WorkerInfo, Duration)>,
    /// Machines that come back, and when.
    returning_machines: Vec<(usize, Duration)>,
    /// Starts of each such task by the newest leader, each of which crashed a worker.
    starts: BTreeMap<Task, Vec<Duration>>,
    /// Number of crashed workers.
    pub(super) count: usize,
    /// Whether crashed workers may be silent for longer than leases last.
    long_silence: bool,
}

impl World {
    /// A simulation in which some tasks crash workers.
    pub fn with_crashing_tasks(seed: u64) -> World {
        World { crashes: Some(Crashes::default()), ..World::new(seed) }
    }

    /// The same, with crashed workers that may be silent for longer than leases last.
    pub fn with_long_silence(mut self) -> World {
        if let Some(crashes) = &mut self.crashes {
            crashes.long_silence = true;
        }
        self
    }

    /// Whether a task crashes its workers.
    pub(super) fn is_crashing_task(&self, task: Task) -> bool {
        self.crashes.is_some() && task.index == 0 && task.unit.job.is_multiple_of(CRASHING_JOB_INTERVAL)
    }

    /// Crashes the worker on which such a task has started, in the next step. The newest leader must not exceed
    /// the bound of starts; it can't prevent what an older one still does.
    pub(super) fn schedule_crash(&mut self, worker: &str, term: Term, task: Task) {
        let now = self.now;
        if !self.is_crashing_task(task) {
            return;
        }
        let Some(crashes) = self.crashes.as_mut() else { return };
        crashes.pending.push(worker.to_owned());
        if term < self.newest_term {
            return;
        }
        let starts = crashes.starts.entry(task).or_default();
        starts.push(now);
        assert!(starts.len() <= MAX_CRASHES + MAX_FURTHER_STARTS, "{task} crashed workers at {starts:?}");
    }

    /// Applies the crashes and restarts that are due.
    pub(super) fn crash_workers(&mut self) {
        let Some(mut crashes) = self.crashes.take() else { return };
        for id in std::mem::take(&mut crashes.pending) {
            let Some(worker) = self.workers.remove(&id) else { continue };
            let place = worker.info.address.trim_end_matches(":80").rsplit('.').next().and_then(|at| at.parse().ok());
            let listed = self.now
                + Duration::from_millis(self.rng.random_range(if crashes.long_silence {
                    LONG_DOWNTIME_MS
                } else {
                    LISTED_AFTER_CRASH_MS
                }));
            let back = self.now
                + Duration::from_millis(self.rng.random_range(if crashes.long_silence {
                    LONG_DOWNTIME_MS
                } else {
                    DOWNTIME_MS
                }));
            self.count_worker_end(&worker);
            crashes.returning_machines.push((place.expect("the number of a machine"), back));
            crashes.expiring_entries.insert(id, (worker.info, listed));
            crashes.count += 1;
        }
        crashes.expiring_entries.retain(|_, (_, until)| *until > self.now);
        let (due, later) =
            std::mem::take(&mut crashes.returning_machines).into_iter().partition(|(_, at)| *at <= self.now);
        crashes.returning_machines = later;
        let due: Vec<(usize, Duration)> = due;
        due.into_iter().for_each(|(place, _)| self.boot(place));
        self.crashes = Some(crashes);
    }

    /// The platform's list: workers, and entries of dead workers that haven't expired. There is one entry per
    /// name: that of the next incarnation is written once the earlier one would have expired.
    pub(super) fn listed(&self) -> BTreeMap<WorkerId, WorkerInfo> {
        let expiring_entries: Vec<_> = self.crashes.iter().flat_map(|crashes| &crashes.expiring_entries).collect();
        let hidden = |id: &str| {
            expiring_entries
                .iter()
                .any(|(former, _)| WorkerIncarnation::from_id(former).name == WorkerIncarnation::from_id(id).name)
        };
        let workers = self.workers.iter().filter(|(id, _)| !hidden(id)).map(|(id, worker)| (id, &worker.info));
        let entries = expiring_entries.iter().map(|(id, (info, _))| (*id, info));
        entries.chain(workers).map(|(id, info)| (id.clone(), info.clone())).collect()
    }

    /// Whether a worker of another name answers at a worker's address.
    pub(super) fn is_replaced(&self, id: &str, address: &str) -> bool {
        let detectable = self.crashes.is_some() || self.list_faults.is_some();
        let has_ended = detectable && !self.stable_names && !self.workers.contains_key(id);
        has_ended && self.workers.values().any(|worker| worker.reachable && worker.info.address == address)
    }

    /// Whether the advice service allows a worker to run anything. If workers restart often, that depends on the
    /// machine; otherwise most of the latest incarnations might not be allowed to run anything.
    pub(super) fn is_allowed(&self, id: &str) -> bool {
        match self.crashes.is_some() || self.stable_names {
            false => !id.ends_with('3'),
            true => !self.workers.get(id).is_some_and(|worker| worker.info.address.ends_with("3:80")),
        }
    }

    /// Number of tasks that crashed workers.
    pub fn crashing_task_count(&self) -> usize {
        self.crashes.iter().map(|crashes| crashes.starts.len()).sum()
    }

    /// Counts the end of a worker for all tasks that ran there.
    pub(super) fn count_worker_end(&mut self, worker: &Runner) {
        for (task, _) in worker.runs.keys() {
            *self.ended_under.entry(*task).or_default() += 1;
        }
    }

    /// Jobs that have failed without a valid cause: no task has used up its attempts, and no task had two workers
    /// end under it.
    pub fn failed_without_cause(&self) -> Vec<String> {
        let with_cause = |id: &JobId| {
            let ends = self.ended_under.iter().filter(|(task, _)| task.unit.job == *id).map(|(_, ends)| *ends).max();
            ends.unwrap_or_default() >= MIN_ENDS_TO_GIVE_UP
        };
        self.failed_with_attempts_left().filter(|id| !with_cause(id)).map(work::format_job_id).collect()
    }

    /// Number of jobs that were given up although none of their tasks crashes workers.
    pub fn failed_bystander_count(&self) -> usize {
        let has_crashing_task = |id: &JobId| self.crashes.is_some() && id.is_multiple_of(CRASHING_JOB_INTERVAL);
        self.failed_with_attempts_left().filter(|id| !has_crashing_task(id)).count()
    }

    /// Jobs that have failed although no task has used up its attempts.
    fn failed_with_attempts_left(&self) -> impl Iterator<Item = JobId> + '_ {
        let failed = |id: &JobId| self.leader.engine.state(*id) == Some(State::Ended(Outcome::Failed));
        self.jobs.keys().copied().filter(failed).filter(|id| !self.has_used_up_attempts(*id))
    }

    /// Number of accepted jobs.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// Number of workers that were crashed by tasks.
    pub fn crash_count(&self) -> usize {
        self.crashes.iter().map(|crashes| crashes.count).sum()
    }

    /// Whether a task or a gang of a job has used up its attempts.
    fn has_used_up_attempts(&self, id: JobId) -> bool {
        let of_job: Vec<_> = self.failed.iter().filter(|(task, _)| task.unit.job == id).collect();
        let used_up = |(task, attempts): &(&Task, &BTreeSet<Attempt>)| {
            let gang = self.jobs[&id].steps[usize::from(task.unit.step)].gang;
            let members = of_job.iter().filter(|(other, _)| gang && other.unit == task.unit);
            let all: BTreeSet<Attempt> = members.flat_map(|(_, others)| *others).chain(*attempts).copied().collect();
            all.len() >= MAX_ATTEMPTS as usize
        };
        of_job.iter().any(used_up)
    }
}
