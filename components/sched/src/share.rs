//! Shares of workspaces: which jobs a workspace sends beyond its share.
//!
//! Each workspace has a token bucket that gains its weight in tokens a second. A job takes a token when it is accepted
//! and is beyond the share if there is none. Units of such jobs are ordered after those within the shares, don't
//! preempt runs and have no room assembled for them.
//!
//! The log doesn't contain the class of a job. The next leader derives it from the times in the records of acceptance,
//! in log order. The log begins at some point, though, and the next leader doesn't know the tokens at that time. It
//! starts with full buckets. Tokens are whole and are gained at fixed wall-clock times (token number n at n / weight
//! seconds since 1970), so that two buckets that are given the same jobs hold the same tokens once both have been full
//! or once the fuller one has run out. Buckets with fractions of tokens would alternate in the jobs that they let pass.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

pub use admission::Class;
use work::{Config, JobId, Queue, WorkspaceName};

use crate::engine::{Clock, Engine};
use crate::entry::{Accepted, Entry};
use crate::quota::{Quota, WorkspaceIndex};

/// A bucket holds the tokens of this time. A workspace whose jobs arrive in small bursts stays within its share.
const DEPTH_SECONDS: u64 = 2;
/// Minimum number of tokens that a bucket holds. Below that, a workspace with a small weight would never be within its
/// share.
const MIN_DEPTH: u64 = 1;
/// Rates are in millionths of a token per second: integers give the same result on every host.
const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;
const NANOSECONDS_PER_SECOND: u128 = 1_000_000_000;

/// Tokens per second, in millionths; 0 for a workspace without a weight, whose jobs are always within its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Rate(u64);

impl Rate {
    fn new(weight: f64) -> Rate {
        // Rounded up, so that no positive weight counts as none. The conversion saturates; NaN becomes 0.
        Rate((weight * MICROTOKENS_PER_TOKEN as f64).ceil() as u64)
    }

    /// Number of tokens gained from 1970 until `wall`.
    fn tokens_until(self, wall: Duration) -> u64 {
        let microtokens = wall.as_nanos().saturating_mul(u128::from(self.0)) / NANOSECONDS_PER_SECOND;
        u64::try_from(microtokens / u128::from(MICROTOKENS_PER_TOKEN)).unwrap_or(u64::MAX)
    }

    /// The most tokens that a bucket holds.
    fn depth(self) -> u64 {
        (self.0.saturating_mul(DEPTH_SECONDS) / MICROTOKENS_PER_TOKEN).max(MIN_DEPTH)
    }
}

/// Numbers of jobs accepted in this term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub within: u64,
    pub excess: u64,
}

impl Counts {
    fn of(&mut self, class: Class) -> &mut u64 {
        match class {
            Class::Within => &mut self.within,
            Class::Excess => &mut self.excess,
        }
    }
}

/// Contents of a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    tokens: u64,
    /// Wall-clock time of the last job; `None` before the first one, which finds the bucket full.
    at: Option<Duration>,
}

impl Level {
    /// Adds the tokens gained since the last job. If the clock was set back in between there are none, and later ones
    /// are counted from the new time: counted from the old one, the workspace would get none until the clock is there
    /// again.
    fn refill(&mut self, rate: Rate, wall: Duration) {
        let gained = match self.at {
            None => rate.depth(),
            Some(at) => rate.tokens_until(wall).saturating_sub(rate.tokens_until(at)),
        };
        self.tokens = self.tokens.saturating_add(gained).min(rate.depth());
        self.at = Some(wall);
    }
}

/// A classified job whose record may not be in the log yet.
#[derive(Clone, Copy, Debug)]
struct Taken {
    id: JobId,
    accepted: Accepted,
    /// The bucket's contents before this job.
    before: Level,
}

/// Token bucket of one workspace.
#[derive(Clone, Debug, Default)]
struct Bucket {
    rate: Rate,
    level: Level,
    /// The last jobs, in log order.
    recent: VecDeque<Taken>,
    counts: Counts,
}

impl Bucket {
    /// Takes a token for a job. Records up to the position `durable` are in the log.
    fn take(&mut self, id: JobId, accepted: Accepted, durable: u64) -> Class {
        if self.rate == Rate::default() {
            return Class::Within;
        }
        while self.recent.front().is_some_and(|taken| taken.accepted.position <= durable) {
            self.recent.pop_front();
        }
        self.recent.push_back(Taken { id, accepted, before: self.level });
        self.level.refill(self.rate, accepted.wall);
        match self.level.tokens.checked_sub(1) {
            Some(left) => {
                self.level.tokens = left;
                Class::Within
            }
            None => Class::Excess,
        }
    }

    /// The class of a job that would be accepted now.
    fn peek(&self, wall: Duration) -> Class {
        let mut level = self.level;
        level.refill(self.rate, wall);
        if self.rate == Rate::default() || level.tokens > 0 { Class::Within } else { Class::Excess }
    }

    /// Restores the contents from before a job. Returns the jobs after it, which have to be classified again.
    fn take_back(&mut self, id: JobId) -> VecDeque<Taken> {
        let Some(index) = self.recent.iter().position(|taken| taken.id == id) else { return VecDeque::new() };
        let mut undone = self.recent.split_off(index);
        if let Some(withdrawn) = undone.pop_front() {
            self.level = withdrawn.before;
        }
        undone
    }
}

/// Token buckets of all workspaces.
#[derive(Debug, Default)]
pub(crate) struct Buckets {
    /// Whether jobs are classified at all.
    enabled: bool,
    buckets: HashMap<WorkspaceIndex, Bucket>,
    /// Jobs of which the log has only a rewritten record of acceptance; filled only while the log is replayed.
    rewritten: Vec<JobId>,
}

impl Buckets {
    /// Applies the weights of a configuration. They decide the class of later jobs.
    pub(crate) fn configure(&mut self, config: &Config, quota: &mut Quota) {
        self.buckets.values_mut().for_each(|bucket| bucket.rate = Rate::default());
        for workspace in &config.workspaces {
            self.buckets.entry(quota.index(&workspace.name)).or_default().rate = Rate::new(workspace.weight);
        }
    }

    /// Numbers of jobs of a workspace that were accepted in this term.
    pub(crate) fn counts(&self, workspace: WorkspaceIndex) -> Counts {
        self.buckets.get(&workspace).map_or_else(Counts::default, |bucket| bucket.counts)
    }

    /// Buckets with the same weights that are all full.
    fn full(&self) -> HashMap<WorkspaceIndex, Bucket> {
        let full = |bucket: &Bucket| Bucket { rate: bucket.rate, counts: bucket.counts, ..Bucket::default() };
        self.buckets.iter().map(|(index, bucket)| (*index, full(bucket))).collect()
    }
}

impl Engine {
    /// Sets whether jobs beyond their workspaces' shares are scheduled after those within. This must be called before
    /// the log is replayed.
    #[must_use]
    pub fn with_shares(mut self, enabled: bool) -> Engine {
        self.buckets.enabled = enabled;
        self
    }

    /// The class of a job; `None` if it is unknown or jobs aren't classified.
    pub fn share(&self, id: JobId) -> Option<Class> {
        self.jobs.get(&id).map(|entry| entry.class).filter(|_| self.buckets.enabled)
    }

    /// Whether a job is beyond its workspace's share.
    pub(crate) fn is_excess(&self, id: JobId) -> bool {
        self.share(id) == Some(Class::Excess)
    }

    /// The class of a job that would be accepted now.
    pub(crate) fn expected_class(&self, clock: Clock, workspace: Option<&WorkspaceName>, queue: &Queue) -> Class {
        if !self.buckets.enabled || queue.public {
            return Class::Within;
        }
        let index = workspace.and_then(|name| self.quota.known_index(name));
        let bucket = index.and_then(|index| self.buckets.buckets.get(&index));
        bucket.map_or(Class::Within, |bucket| bucket.peek(clock.wall))
    }

    /// Decides the class of a job that was just accepted, and counts it.
    pub(crate) fn classify_accepted(&mut self, id: JobId) {
        self.classify(id);
        self.count_accepted(id, |count| *count += 1);
    }

    /// Decides the class of a job that was just added.
    pub(crate) fn classify(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id).filter(|entry| self.has_share(entry)) else { return };
        let durable = self.durable;
        let bucket = entry.workspace.and_then(|index| self.buckets.buckets.get_mut(&index));
        let class = bucket.map_or(Class::Within, |bucket| bucket.take(id, entry.accepted, durable));
        self.set_class(id, class);
    }

    /// Whether the share of a job's workspace applies to it. Callers of a public queue can leave out their keys.
    fn has_share(&self, entry: &Entry) -> bool {
        self.buckets.enabled && self.queues.get(&entry.queue).is_none_or(|queue| !queue.public)
    }

    /// Notes that the log may have only a rewritten record of a job's acceptance.
    pub(crate) fn classify_later(&mut self, id: JobId) {
        self.buckets.rewritten.push(id);
    }

    /// Decides the classes of jobs whose first record of acceptance was removed from the log. The records of ended
    /// jobs are gone as well, so a job beyond its share may count as within now. Of a workspace's jobs that are left,
    /// no more count as within than its share allowed at the time of their acceptance, and none counts as beyond that
    /// didn't before.
    pub(crate) fn classify_rewritten(&mut self) {
        let mut ids = std::mem::take(&mut self.buckets.rewritten);
        // Records are rewritten in another order than that of acceptance.
        ids.sort_by_key(|id| (self.jobs.get(id).map(|entry| entry.accepted.wall), *id));
        let full = self.buckets.full();
        let current = std::mem::replace(&mut self.buckets.buckets, full);
        ids.into_iter().for_each(|id| self.classify(id));
        self.buckets.buckets = current;
    }

    /// Undoes the effect of a job that isn't in the log and never will be: classifies the jobs after it again. The next
    /// leader doesn't find it in the log and will come to the same classes.
    pub(crate) fn unclassify(&mut self, id: JobId) {
        self.count_accepted(id, |count| *count = count.saturating_sub(1));
        let Some(index) = self.jobs.get(&id).and_then(|entry| entry.workspace) else { return };
        let durable = self.durable;
        let Some(bucket) = self.buckets.buckets.get_mut(&index) else { return };
        let later = bucket.take_back(id).into_iter();
        let classes: Vec<_> = later.map(|job| (job.id, bucket.take(job.id, job.accepted, durable))).collect();
        for (id, class) in classes {
            self.count_accepted(id, |count| *count = count.saturating_sub(1));
            self.set_class(id, class);
            self.count_accepted(id, |count| *count += 1);
        }
    }

    fn set_class(&mut self, id: JobId, class: Class) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.class = class;
        }
    }

    /// Changes the number of accepted jobs of a job's workspace and class.
    fn count_accepted(&mut self, id: JobId, change: impl FnOnce(&mut u64)) {
        let Some(entry) = self.jobs.get(&id) else { return };
        if let Some(index) = entry.workspace {
            change(self.buckets.buckets.entry(index).or_default().counts.of(entry.class));
        }
    }
}
