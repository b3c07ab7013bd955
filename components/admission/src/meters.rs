//! The meters of all budgets, and the waits that result from them.

use std::collections::BTreeMap;
use std::time::Duration;

use work::QueueName;

use crate::demand::Demand;
use crate::load::{Budget, Class, Load, Queue, Tier, Work};
use crate::meter::{Meter, Sample, WINDOW};

/// Share of a pool's cores from which on it counts as full. Less urgent units leave 8% free, and tasks of 4.5 cores
/// can't use 2.5 of a worker's 16.
const FULL_POOL_SHARE: f64 = 0.8;
/// Share of the hosts that are asking from which on advice counts as used up: one host in eight is kept for short
/// questions.
const BUSY_HOSTS_SHARE: f64 = 0.85;
/// Latency of starts from which on the leader counts as used up. A start takes some 20 ms, and up to 230 ms with a
/// slow store.
const SLOW_START: Duration = Duration::from_millis(400);

/// Work that is scheduled before a new job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ahead {
    /// Work of the same pool.
    pub pool: Work,
    /// Work of all pools: the advice service and the leader serve them together.
    pub all: Work,
    pub jobs: usize,
    /// Work of the same pool, and of all pools, that is expected to come in the next [`WINDOW`] and be scheduled
    /// before the job: as much as came in the last one.
    pub inflow: (Work, Work),
}

impl Ahead {
    pub(crate) fn add(&mut self, same_pool: bool, work: Work, jobs: usize) {
        self.all += work;
        if same_pool {
            self.pool += work;
            self.jobs += jobs;
        }
    }

    pub(crate) fn add_inflow(&mut self, same_pool: bool, work: Work) {
        self.inflow.1 += work;
        if same_pool {
            self.inflow.0 += work;
        }
    }
}

impl Ahead {
    /// The time in seconds until a budget with this rate has served what goes first. Inflow is only expected to last
    /// as long as it was observed.
    fn wait(&self, budget: Budget, rate: f64) -> f64 {
        let (waiting, inflow) = match budget {
            Budget::Room => (self.pool.core_seconds, self.inflow.0.core_seconds),
            Budget::Advice => (self.all.advice_seconds, self.inflow.1.advice_seconds),
            Budget::Starts => (self.all.starts, self.inflow.1.starts),
        };
        let window = WINDOW.as_secs_f64();
        let inflow = inflow.min(rate * window);
        let left = rate - inflow / window;
        if left > 0.0 && waiting / left <= window { waiting / left } else { (waiting + inflow) / rate }
    }
}

/// Meters of all budgets, and of the jobs that each queue starts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meters {
    pools: BTreeMap<String, Meter>,
    advice: Meter,
    starts: Meter,
    queues: BTreeMap<(QueueName, Class), Meter>,
}

impl Meters {
    /// Records a snapshot. Pools and queues that it lacks are forgotten. `held_back` says whether jobs were refused
    /// since the last one: they would wait otherwise.
    pub(crate) fn record(&mut self, load: &Load, held_back: bool) {
        self.pools.retain(|name, _| load.pools.contains_key(name));
        for (name, pool) in &load.pools {
            let waits = held_back
                || load.queues.values().any(|queue| queue.pool == *name && has_work(queue, |work| work.cores));
            let saturated = waits && pool.busy >= FULL_POOL_SHARE * pool.cores;
            let sample = Sample { at: load.at, served: pool.completed, in_service: pool.busy, saturated };
            self.pools.entry(name.clone()).or_default().record(sample);
        }
        self.queues.retain(|(name, _), _| load.queues.contains_key(name));
        for (name, queue) in &load.queues {
            for (class, started) in &queue.started {
                let sample = Sample { at: load.at, served: *started as f64, in_service: 0.0, saturated: false };
                self.queues.entry((name.clone(), *class)).or_default().record(sample);
            }
        }
        self.record_shared(load, held_back);
    }

    /// Records the budgets that all pools share.
    fn record_shared(&mut self, load: &Load, held_back: bool) {
        let waits = |part: fn(&Work) -> f64| held_back || load.queues.values().any(|queue| has_work(queue, part));
        let asking = load.hosts.asking as f64;
        let busy = load.hosts.total > 0 && asking >= BUSY_HOSTS_SHARE * load.hosts.total as f64;
        let saturated = busy && waits(|work| work.advice_seconds);
        self.advice.record(Sample { at: load.at, served: load.advice_seconds, in_service: asking, saturated });
        let slow = load.start_latency.is_some_and(|latency| latency >= SLOW_START);
        let saturated = slow && waits(|work| work.starts);
        self.starts.record(Sample { at: load.at, served: load.starts as f64, in_service: 0.0, saturated });
    }

    /// Jobs of a queue and class that start per second; `None` if that isn't known.
    pub(crate) fn throughput(&self, queue: &str, class: Class) -> Option<f64> {
        self.queues.get(&(queue.to_owned(), class))?.throughput()
    }

    /// The budget for which a job waits longest, and that wait in seconds; `None` if it waits for nothing.
    pub(crate) fn longest_wait(&self, load: &Load, ahead: &Ahead, demand: &Demand) -> Option<(Budget, f64)> {
        let asks = demand.work.advice_seconds > 0.0;
        let rates = [
            (Budget::Room, self.room_rate(load, ahead, demand)),
            (Budget::Advice, self.advice.saturated_rate().filter(|_| asks)),
            (Budget::Starts, self.starts.saturated_rate()),
        ];
        let waits = rates.into_iter().filter_map(|(budget, rate)| Some((budget, ahead.wait(budget, rate?))));
        let waits = waits.filter(|(_, wait)| *wait > 0.0);
        waits.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The rate at which the job's pool is served; `None` if the pool isn't full, or has room left for the job after
    /// all that is scheduled before it.
    fn room_rate(&self, load: &Load, ahead: &Ahead, demand: &Demand) -> Option<f64> {
        let name = &load.queues.get(&demand.queue)?.pool;
        let pool = load.pools.get(name)?;
        let fits = ahead.pool.cores + demand.work.cores <= pool.cores - pool.busy;
        self.pools.get(name)?.saturated_rate().filter(|_| !fits)
    }
}

/// Whether any lane of a queue has waiting work of this kind.
fn has_work(queue: &Queue, part: fn(&Work) -> f64) -> bool {
    queue.lanes.iter().any(|lane| part(&lane.work) > 0.0)
}

/// When a job is scheduled, which decides what is scheduled before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// While it can still meet its objective.
    OnTime,
    /// After that: all jobs that are on time go first.
    Late,
}

/// Whether waiting work precedes a new job of this class and priority, in the order of `sched::rank`. Older work of
/// the same rank does.
pub(crate) fn precedes(tier: Tier, rank: (Class, u32), stage: Stage, own: (Class, u32)) -> bool {
    match (stage, tier) {
        (Stage::OnTime, Tier::OnTime) | (Stage::Late, Tier::Late) => rank <= own,
        (Stage::OnTime, Tier::Late) => false,
        (Stage::Late, Tier::OnTime) => true,
    }
}

/// Whether jobs of this class and priority that come later are scheduled before a job that waits: more urgent ones,
/// and all that are on time once the job is late.
pub(crate) fn overtakes(rank: (Class, u32), stage: Stage, own: (Class, u32)) -> bool {
    match stage {
        Stage::OnTime => rank < own,
        Stage::Late => true,
    }
}
