//! A snapshot of the load: the work that waits for each budget, and what each budget has served so far.

use std::collections::BTreeMap;
use std::ops::{AddAssign, Mul};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use work::{JobId, QueueName};

/// What a job may have to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Budget {
    /// Cores of the pool's workers.
    Room,
    /// Time of the hosts that ask the advice service.
    Advice,
    /// Starts that the leader can order.
    Starts,
}

impl Budget {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Budget::Room => "room",
            Budget::Advice => "advice",
            Budget::Starts => "starts",
        }
    }
}

/// Whether a job is within its workspace's share. The classes are in scheduling order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Within the share, or there is no share to exceed.
    #[default]
    Within,
    /// Beyond the share. It runs on room that no job within a share of the same urgency wants.
    Excess,
}

impl Class {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Class::Within => "within",
            Class::Excess => "excess",
        }
    }
}

/// Whether a waiting job can still meet its objective. Jobs whose results have no value any more don't count: they
/// only run on what nobody else wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    OnTime,
    Late,
}

/// Work that waits, or that a job adds, by budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Cores that would be in use if all of it ran at once.
    pub cores: f64,
    pub core_seconds: f64,
    /// Time of hosts that ask the advice service.
    pub advice_seconds: f64,
    /// Tasks to start.
    pub starts: f64,
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Work) {
        self.cores += other.cores;
        self.core_seconds += other.core_seconds;
        self.advice_seconds += other.advice_seconds;
        self.starts += other.starts;
    }
}

impl Mul<f64> for Work {
    type Output = Work;

    fn mul(self, factor: f64) -> Work {
        Work {
            cores: self.cores * factor,
            core_seconds: self.core_seconds * factor,
            advice_seconds: self.advice_seconds * factor,
            starts: self.starts * factor,
        }
    }
}

/// The waiting work of one queue in one tier and class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lane {
    pub tier: Tier,
    pub class: Class,
    /// Number of jobs with waiting tasks.
    pub jobs: usize,
    pub work: Work,
}

/// A queue and its waiting work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    pub pool: String,
    /// 0 is the most urgent.
    pub priority: u32,
    pub lanes: Vec<Lane>,
    /// Number of jobs whose first task has started since the term began, by class.
    pub started: BTreeMap<Class, u64>,
}

impl Queue {
    /// Adds waiting work of one job.
    pub fn add(&mut self, tier: Tier, class: Class, work: Work) {
        match self.lanes.iter_mut().find(|lane| lane.tier == tier && lane.class == class) {
            Some(lane) => {
                lane.jobs += 1;
                lane.work += work;
            }
            None => self.lanes.push(Lane { tier, class, jobs: 1, work }),
        }
    }
}

/// Cores of the workers of a pool that may get work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pool {
    pub cores: f64,
    pub busy: f64,
    /// Core-seconds of the tasks that were completed since the term began, by the callers' estimates.
    pub completed: f64,
}

/// Hosts that can ask the advice service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hosts {
    pub total: usize,
    /// Those that are asking now.
    pub asking: usize,
}

/// The first start of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstStart {
    pub job: JobId,
    /// Time since the job's acceptance.
    pub waited: Duration,
}

/// The load of the cell at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// When the snapshot was taken, in monotonic time.
    pub at: Duration,
    pub pools: BTreeMap<String, Pool>,
    pub queues: BTreeMap<QueueName, Queue>,
    pub hosts: Hosts,
    /// Advice time used since the term began, in host seconds.
    pub advice_seconds: f64,
    /// Tasks started since the term began.
    pub starts: u64,
    /// Smoothed time from the decision to start a task to the worker's answer; `None` before the first one.
    pub start_latency: Option<Duration>,
    /// Jobs that started since the last snapshot.
    pub first_starts: Vec<FirstStart>,
}
