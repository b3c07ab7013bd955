//! The controller: keeps the last snapshot of the load and decides on new jobs.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use work::{JobId, QueueName};

use crate::attempts::Attempts;
use crate::correction::Correction;
use crate::decision::{Admission, Decision, Refusal};
use crate::demand::Demand;
use crate::forecast::{Forecast, Outlook, Wait};
use crate::inflow::Inflow;
use crate::load::{Budget, Class, Load, Queue, Tier, Work};
use crate::meter::WINDOW;
use crate::meters::{Ahead, Meters, Stage, overtakes, precedes};
use crate::reservation::{Reservations, Return, whole_seconds};

/// A snapshot older than this decides nothing: the leader takes one every 200 ms, so it is too busy to judge.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// A queue that refuses jobs admits them again below this share of their limit. The margin is a few times the change
/// between two snapshots, so that a queue doesn't alternate between them.
const READMISSION_SHARE: f64 = 0.8;
/// Number of admitted jobs that are remembered until they have started: those of some seconds.
const MAX_EXPECTED: usize = 8192;
/// A job counts as on time if its forecast wait is at most this share of what it has to spare. One that is admitted
/// at the edge turns late before it runs, and then all jobs that are on time go first.
const ON_TIME_SHARE: f64 = 0.8;
/// Share of a queue's rate that is reserved for jobs that are late when they return. The rest serves first attempts,
/// whose results are worth more.
const LATE_RETURN_SHARE: f64 = 0.5;
/// Upper bound on forecast waits; far above any that makes a difference.
const MAX_WAIT: Duration = Duration::from_secs(86_400);
/// Lowest rate of a queue, in jobs per second: one job in the period over which rates are measured.
const MIN_JOB_RATE: f64 = 0.5;

/// Decides on new jobs by the load of the cell.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    load: Option<Load>,
    meters: Meters,
    inflow: Inflow,
    corrections: BTreeMap<QueueName, Correction>,
    /// Whether the last decision on a queue and class was a refusal.
    refusing: BTreeMap<(QueueName, Class), bool>,
    /// For each queue and class, what the last job needed.
    last: BTreeMap<(QueueName, Class), Demand>,
    expected: Expected,
    reservations: Reservations,
    attempts: Attempts,
}

/// Admitted jobs that aren't known to have started, oldest first.
#[derive(Clone, Debug, Default)]
struct Expected {
    by_job: HashMap<JobId, (QueueName, Duration)>,
    order: VecDeque<JobId>,
}

impl Expected {
    fn add(&mut self, job: JobId, queue: &QueueName, wait: Duration) {
        if self.by_job.insert(job, (queue.clone(), wait)).is_none() {
            self.order.push_back(job);
        }
        if self.order.len() > 2 * MAX_EXPECTED {
            self.order.retain(|job| self.by_job.contains_key(job));
        }
        while self.by_job.len() > MAX_EXPECTED {
            let Some(oldest) = self.order.pop_front() else { return };
            self.by_job.remove(&oldest);
        }
    }
}

impl Controller {
    /// Replaces the snapshot of the load.
    pub fn update(&mut self, load: Load) {
        self.meters.record(&load, self.inflow.has_refused());
        self.inflow.snapshot(load.at);
        self.reservations.expire(load.at);
        self.corrections.retain(|queue, _| load.queues.contains_key(queue));
        self.refusing.retain(|(queue, _), _| load.queues.contains_key(queue));
        self.last.retain(|(queue, _), _| load.queues.contains_key(queue));
        for start in &load.first_starts {
            let Some((queue, forecast)) = self.expected.by_job.remove(&start.job) else { continue };
            self.corrections.entry(queue).or_default().observe(load.at, forecast, start.waited);
        }
        self.load = Some(load);
    }

    /// Decides on a job that the scheduler doesn't know.
    pub fn decide(&mut self, now: Duration, job: JobId, demand: &Demand) -> Decision {
        if self.expected.by_job.contains_key(&job) {
            return Decision::Admitted(Admission::Repeated);
        }
        self.last.insert(key(demand), demand.clone());
        self.inflow.offer(&demand.queue, demand.class, demand.work);
        let age = self.load.as_ref().map(|load| now.saturating_sub(load.at));
        let Some(age) = age.filter(|age| *age <= MAX_LOAD_AGE) else {
            return self.admit(job, demand, Duration::ZERO, Admission::Unmeasured);
        };
        let outlook = self.outlook(now, demand);
        if self.reservations.check(now, job) == Return::Due {
            return self.admit(job, demand, outlook.raw_wait, Admission::Returned);
        }
        // What counts for the caller is the time since its first attempt. Only first attempts tell whether the queue
        // refuses jobs.
        let elapsed = self.attempts.elapsed(now, job);
        let refusing = outlook.budget.is_some() && self.is_refused(demand, &outlook, Duration::ZERO);
        let budget = outlook.budget.filter(|_| self.is_refused(demand, &outlook, elapsed));
        self.refusing.insert(key(demand), refusing);
        match budget {
            None => self.admit(job, demand, outlook.raw_wait, Admission::Servable),
            Some(budget) => {
                let retry_after = self.retry_after(now, job, demand, outlook.relief, elapsed);
                let (end, waiting) = (outlook.wait + demand.critical_path, outlook.waiting);
                let limit = demand.limit.saturating_sub(elapsed);
                Decision::Refused(Refusal { budget, end, limit, waiting, age, retry_after })
            }
        }
    }

    /// The expected waits of all queues that have had jobs.
    pub fn forecast(&self, now: Duration) -> Forecast {
        let mut forecast = Forecast::default();
        for ((queue, class), demand) in &self.last {
            let outlook = self.outlook(now, demand);
            let Outlook { budget, wait, relief, .. } = outlook;
            let refused = budget.is_some() && self.is_refused(demand, &outlook, Duration::ZERO);
            let retry_after = refused.then(|| whole_seconds(relief));
            forecast.queues.entry(queue.clone()).or_default().push(Wait { class: *class, budget, wait, retry_after });
        }
        forecast
    }

    /// `raw_wait` is the wait that the observed one is compared with.
    fn admit(&mut self, job: JobId, demand: &Demand, raw_wait: Duration, admission: Admission) -> Decision {
        self.reservations.remove(job);
        self.inflow.admit(&demand.queue, demand.class, demand.work);
        self.expected.add(job, &demand.queue, raw_wait);
        Decision::Admitted(admission)
    }

    /// When a refused job should come back: at the time that it was told before, or at a new one.
    fn retry_after(
        &mut self,
        now: Duration,
        job: JobId,
        demand: &Demand,
        relief: Duration,
        elapsed: Duration,
    ) -> Duration {
        self.attempts.refused(now, job);
        if let Return::Early(remaining) = self.reservations.check(now, job) {
            return remaining;
        }
        let returns_late = elapsed + whole_seconds(relief) + demand.critical_path > demand.objective;
        let share = if returns_late { LATE_RETURN_SHARE } else { 1.0 };
        let rate = self.meters.throughput(&demand.queue, demand.class).unwrap_or_default() * share;
        let demand = Demand { limit: demand.limit.saturating_sub(elapsed), ..demand.clone() };
        self.reservations.reserve(now, job, &demand, relief, rate.max(MIN_JOB_RATE))
    }

    /// Whether the job would end after its result has lost its value. `elapsed` is the time since its first attempt.
    fn is_refused(&self, demand: &Demand, outlook: &Outlook, elapsed: Duration) -> bool {
        let refusing = self.refusing.get(&key(demand)).copied().unwrap_or_default();
        let limit = if refusing { demand.limit.mul_f64(READMISSION_SHARE) } else { demand.limit };
        elapsed + outlook.wait + demand.critical_path > limit
    }

    /// The expected course of a new job.
    fn outlook(&self, now: Duration, demand: &Demand) -> Outlook {
        let outlook = self.modelled_outlook(now, demand);
        match demand.class {
            Class::Within => outlook,
            Class::Excess => {
                let observed = self.observed_wait(demand);
                let relief = outlook.relief.min(observed.saturating_sub(readmission_wait(demand)));
                Outlook { wait: outlook.wait.min(observed), relief, ..outlook }
            }
        }
    }

    /// The wait of a new job beyond its workspace's share, by how fast such jobs of its queue have been starting lately
    /// (Little's law).
    ///
    /// They run on what others leave, and the order of units doesn't tell how much that is: gangs that fit nowhere and
    /// units without tickets precede them and use nothing. As long as nothing is known of their starts they are admitted.
    fn observed_wait(&self, demand: &Demand) -> Duration {
        let lanes = self.load.as_ref().and_then(|load| load.queues.get(&demand.queue)).map(|queue| &queue.lanes);
        let lanes = lanes.into_iter().flatten().filter(|lane| lane.class == demand.class);
        let recent = self.inflow.recent().filter(|(name, class, _)| **name == demand.queue && *class == demand.class);
        let waiting = lanes.map(|lane| lane.jobs).sum::<usize>() + recent.map(|(_, _, jobs)| jobs.jobs).sum::<usize>();
        match self.meters.throughput(&demand.queue, demand.class) {
            Some(rate) if waiting > 0 => Duration::try_from_secs_f64(waiting as f64 / rate).unwrap_or(MAX_WAIT),
            _ => Duration::ZERO,
        }
    }

    /// The expected course of a new job by the work that is scheduled before it. A job that can't be on time is scheduled
    /// after all jobs that are.
    fn modelled_outlook(&self, now: Duration, demand: &Demand) -> Outlook {
        let ratio = self.corrections.get(&demand.queue).map_or(1.0, |correction| correction.ratio(now));
        // Jobs with reservations go before new ones. Those of a queue are taken to be alike.
        let returning = self.reservations.due_within(now, &demand.queue, WINDOW);
        let (first, mut budget, mut jobs) = self.wait(now, demand, Stage::OnTime, demand.work * returning as f64);
        let slack = demand.objective.saturating_sub(demand.critical_path).mul_f64(ON_TIME_SHARE);
        let is_late = |wait: Duration| wait.mul_f64(ratio) > slack;
        if !is_late(first) {
            let wait = first.mul_f64(ratio);
            let (raw_wait, ..) = self.wait(now, demand, Stage::OnTime, Work::default());
            return Outlook { budget, wait, raw_wait, relief: Duration::ZERO, waiting: jobs };
        }
        let (late, late_budget, late_jobs) = self.wait(now, demand, Stage::Late, Work::default());
        if late > first {
            (budget, jobs) = (late_budget, late_jobs);
        }
        let longest = first.max(late);
        let readmission = readmission_wait(demand);
        let excess = |wait: Duration, most: Duration| wait.mul_f64(ratio).saturating_sub(most);
        let relief = excess(first, slack).min(excess(longest, readmission));
        Outlook { budget, wait: longest.mul_f64(ratio), raw_wait: Duration::ZERO, relief, waiting: jobs }
    }

    /// The uncorrected wait of a job for the work that precedes it, its budget, and the number of jobs ahead.
    /// `returning` is work of the job's queue that is kept free in the next [`WINDOW`].
    fn wait(&self, now: Duration, demand: &Demand, stage: Stage, returning: Work) -> (Duration, Option<Budget>, usize) {
        let Some(load) = &self.load else { return (Duration::ZERO, None, 0) };
        let mut ahead = self.ahead(load, demand, stage);
        ahead.add_inflow(true, returning);
        match self.meters.longest_wait(load, &ahead, demand) {
            Some((budget, wait)) => {
                let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_WAIT).min(MAX_WAIT);
                // Since the snapshot was taken, part of this work was served.
                (wait.saturating_sub(now.saturating_sub(load.at)), Some(budget), ahead.jobs)
            }
            None => (Duration::ZERO, None, ahead.jobs),
        }
    }

    /// The work that is scheduled before a new job.
    fn ahead(&self, load: &Load, demand: &Demand, stage: Stage) -> Ahead {
        let mut ahead = Ahead::default();
        let Some(own) = load.queues.get(&demand.queue) else { return ahead };
        let own_rank = (demand.class, own.priority);
        let same_pool = |queue: &Queue| queue.pool == own.pool;
        for queue in load.queues.values() {
            for lane in &queue.lanes {
                if precedes(lane.tier, (lane.class, queue.priority), stage, own_rank) {
                    ahead.add(same_pool(queue), lane.work, lane.jobs);
                }
            }
        }
        for (name, class, arrivals) in self.inflow.recent() {
            let Some(queue) = load.queues.get(name) else { continue };
            if precedes(Tier::OnTime, (class, queue.priority), stage, own_rank) {
                ahead.add(same_pool(queue), arrivals.admitted, arrivals.jobs);
            }
        }
        for (name, class, arrivals) in self.inflow.past() {
            let Some(queue) = load.queues.get(name) else { continue };
            if overtakes((class, queue.priority), stage, own_rank) {
                let work = match stage {
                    Stage::OnTime => arrivals.admitted,
                    // What is refused now doesn't show whether others take its place.
                    Stage::Late => arrivals.offered,
                };
                ahead.add_inflow(same_pool(queue), work);
            }
        }
        ahead
    }
}

/// The longest wait with which a job is admitted again while its queue refuses jobs.
fn readmission_wait(demand: &Demand) -> Duration {
    demand.limit.mul_f64(READMISSION_SHARE).saturating_sub(demand.critical_path)
}

fn key(demand: &Demand) -> (QueueName, Class) {
    (demand.queue.clone(), demand.class)
}
