//! Tasks that take each worker down that starts them: the worker is silent from the next step on, its entry stays in the list for a
//! while, and its machine comes back as another worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fakes::runner::Runner;
use rand::Rng;
use sched::WorkerInfo;
use work::{Attempt, JobId, Outcome, State, Task, Term, WorkerId, WorkerIncarnation};

use super::{MAX_ATTEMPTS, World};

/// One job of so many has a task that takes workers down: its first.
const ONE_IN: u64 = 6;
/// Workers that may go down under a task before it is given up, and starts that may follow: a bound of the platform.
const CRASHES: usize = 3;
const STARTS_AFTER: usize = 2;
/// A task under which so many have gone down may be given up.
const ENDS_TO_GIVE_UP: u32 = 2;
/// A worker that went down stays in the list for so many milliseconds: three missed signs of life.
const LINGERS_MS: std::ops::Range<u64> = 1000..4500;
/// Its machine is back after so many.
const BACK_MS: std::ops::Range<u64> = 500..5000;
/// The same where both may outlast leases of 6 s.
const LONG_MS: std::ops::Range<u64> = 500..12_000;

/// What such tasks have done.
#[derive(Default)]
pub(super) struct Crashes {
    /// Workers that go down with the next step.
    next: Vec<WorkerId>,
    /// Entries of workers that went down, and until when they are listed.
    lingering: BTreeMap<WorkerId, (WorkerInfo, Duration)>,
    /// Places of machines that come back, and when.
    returning: Vec<(usize, Duration)>,
    /// Starts of each such task by the newest leader; each took a worker down.
    starts: BTreeMap<Task, Vec<Duration>>,
    /// Workers that went down.
    pub(super) count: usize,
    /// Whether they may be silent for longer than leases last.
    long: bool,
}

impl World {
    /// A world in which some tasks take workers down.
    pub fn with_crashers(seed: u64) -> World {
        World { crashes: Some(Crashes::default()), ..World::new(seed) }
    }

    /// The same with workers that may be silent for longer than leases last.
    pub fn with_long_silence(mut self) -> World {
        if let Some(crashes) = &mut self.crashes {
            crashes.long = true;
        }
        self
    }

    /// Whether a task takes its workers down.
    pub(super) fn is_crasher(&self, task: Task) -> bool {
        self.crashes.is_some() && task.index == 0 && task.unit.job.is_multiple_of(ONE_IN)
    }

    /// Takes the worker down on which such a task has begun. It must not begin beyond its bound: what an older leader still does is
    /// out of the newest one's hands.
    pub(super) fn bring_down(&mut self, worker: &str, term: Term, task: Task) {
        let now = self.now;
        if !self.is_crasher(task) {
            return;
        }
        let Some(crashes) = self.crashes.as_mut() else { return };
        crashes.next.push(worker.to_owned());
        if term < self.newest {
            return;
        }
        let starts = crashes.starts.entry(task).or_default();
        starts.push(now);
        assert!(starts.len() <= CRASHES + STARTS_AFTER, "{task} took workers down at {starts:?}");
    }

    /// Carries out what is due.
    pub(super) fn crash_workers(&mut self) {
        let Some(mut crashes) = self.crashes.take() else { return };
        for id in std::mem::take(&mut crashes.next) {
            let Some(worker) = self.workers.remove(&id) else { continue };
            let place = worker.info.address.trim_end_matches(":80").rsplit('.').next().and_then(|at| at.parse().ok());
            let listed = self.now
                + Duration::from_millis(self.rng.random_range(if crashes.long { LONG_MS } else { LINGERS_MS }));
            let back =
                self.now + Duration::from_millis(self.rng.random_range(if crashes.long { LONG_MS } else { BACK_MS }));
            self.note_end(&worker);
            crashes.returning.push((place.expect("a place"), back));
            crashes.lingering.insert(id, (worker.info, listed));
            crashes.count += 1;
        }
        crashes.lingering.retain(|_, (_, until)| *until > self.now);
        let (due, later) = std::mem::take(&mut crashes.returning).into_iter().partition(|(_, at)| *at <= self.now);
        crashes.returning = later;
        let due: Vec<(usize, Duration)> = due;
        due.into_iter().for_each(|(place, _)| self.boot(place));
        self.crashes = Some(crashes);
    }

    /// The platform's list: workers, and entries of dead ones that haven't run out. Under one name there is one entry: that of a next life is
    /// written once the former one would have run out.
    pub(super) fn listed(&self) -> BTreeMap<WorkerId, WorkerInfo> {
        let lingering: Vec<_> = self.crashes.iter().flat_map(|crashes| &crashes.lingering).collect();
        let hidden = |id: &str| {
            lingering
                .iter()
                .any(|(former, _)| WorkerIncarnation::from_id(former).name == WorkerIncarnation::from_id(id).name)
        };
        let workers = self.workers.iter().filter(|(id, _)| !hidden(id)).map(|(id, worker)| (id, &worker.info));
        let entries = lingering.iter().map(|(id, (info, _))| (*id, info));
        entries.chain(workers).map(|(id, info)| (id.clone(), info.clone())).collect()
    }

    /// Whether a worker of another name answers at a worker's address.
    pub(super) fn replaced(&self, id: &str, address: &str) -> bool {
        let told = self.crashes.is_some() || self.lies.is_some();
        let gone = told && !self.births && !self.workers.contains_key(id);
        gone && self.workers.values().any(|worker| worker.reachable && worker.info.address == address)
    }

    /// Tasks that took workers down.
    pub fn crashers(&self) -> usize {
        self.crashes.iter().map(|crashes| crashes.starts.len()).sum()
    }

    /// A worker went down under all that ran there.
    pub(super) fn note_end(&mut self, worker: &Runner) {
        for (task, _) in worker.runs.keys() {
            *self.ended_under.entry(*task).or_default() += 1;
        }
    }

    /// Jobs that are shown as failed without a cause that the platform knows: no task has used up its attempts, and under none did two
    /// workers go down.
    pub fn wrongly_failed(&self) -> Vec<String> {
        let with_cause = |id: &JobId| {
            let ends = self.ended_under.iter().filter(|(task, _)| task.unit.job == *id).map(|(_, ends)| *ends).max();
            ends.unwrap_or_default() >= ENDS_TO_GIVE_UP
        };
        self.failed_otherwise().filter(|id| !with_cause(id)).map(work::format_job_id).collect()
    }

    /// Jobs that were given up though none of their tasks takes workers down.
    pub fn failed_beside_others(&self) -> usize {
        let crasher = |id: &JobId| self.crashes.is_some() && id.is_multiple_of(ONE_IN);
        self.failed_otherwise().filter(|id| !crasher(id)).count()
    }

    /// Jobs that have failed though no task has used up its attempts.
    fn failed_otherwise(&self) -> impl Iterator<Item = JobId> + '_ {
        let failed = |id: &JobId| self.leader.engine.state(*id) == Some(State::Ended(Outcome::Failed));
        self.jobs.keys().copied().filter(failed).filter(|id| !self.has_spent(*id))
    }

    /// Jobs that were accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// Workers that went down under tasks that take them down.
    pub fn crashed(&self) -> usize {
        self.crashes.iter().map(|crashes| crashes.count).sum()
    }

    /// Whether a task of a job, or a gang, has used up its attempts.
    fn has_spent(&self, id: JobId) -> bool {
        let of_job: Vec<_> = self.failed.iter().filter(|(task, _)| task.unit.job == id).collect();
        let spent = |(task, attempts): &(&Task, &BTreeSet<Attempt>)| {
            let gang = self.jobs[&id].steps[usize::from(task.unit.step)].gang;
            let members = of_job.iter().filter(|(other, _)| gang && other.unit == task.unit);
            let all: BTreeSet<Attempt> = members.flat_map(|(_, others)| *others).chain(*attempts).copied().collect();
            all.len() >= MAX_ATTEMPTS as usize
        };
        of_job.iter().any(spent)
    }
}
