//! The order in which units are scheduled.

use std::time::Duration;

use work::{Job, Queue, Unit};

use crate::engine::{Clock, Engine};
use crate::entry::Entry;
use crate::share;

/// A job has no value once it is late by this factor of its objective.
const OVERDUE_FACTOR: u32 = 3;

/// The value of running a job now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// It can meet its objective.
    OnTime,
    /// It is late, but its result is still useful.
    Late,
    /// Its result has no value any more. It only runs on room that no other unit wants.
    Overdue,
}

/// A unit with pending tasks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub unit: Unit,
    key: Key,
}

/// What units are ordered by, the most urgent first: tier, share of the workspace, priority of the queue, and age.
pub(crate) type Key = (Tier, share::Class, u32, Duration);

/// A key without its age.
pub(crate) type Urgency = (Tier, share::Class, u32);

pub(crate) fn urgency(key: Key) -> Urgency {
    (key.0, key.1, key.2)
}

impl Candidate {
    pub(crate) fn new(unit: Unit, key: Key) -> Candidate {
        Candidate { unit, key }
    }

    pub(crate) fn key(&self) -> Key {
        self.key
    }

    pub(crate) fn urgency(&self) -> Urgency {
        urgency(self.key)
    }

    /// Whether its job can meet its objective.
    pub(crate) fn on_time(&self) -> bool {
        self.key.0 == Tier::OnTime
    }
}

impl Engine {
    /// Whether a job would still meet its objective after waiting this much longer.
    pub(crate) fn can_wait(&self, clock: Clock, unit: Unit, time: Duration) -> bool {
        let Some(entry) = self.jobs.get(&unit.job) else { return false };
        let Some(queue) = self.queues.get(&entry.queue) else { return false };
        let waited = clock.now.saturating_sub(self.counted_since(clock, entry, unit.round));
        waited + remaining_critical_path(entry, unit.round) + time <= objective(&entry.job, queue)
    }

    /// The time from which the duration of a round counts: its due time, or the acceptance of an unscheduled job.
    fn counted_since(&self, clock: Clock, entry: &Entry, round: u32) -> Duration {
        match entry.job.schedule {
            Some(_) => clock.now.saturating_sub(clock.wall.saturating_sub(entry.job.due(round))),
            None => entry.accepted.now,
        }
    }

    pub(crate) fn key(&self, clock: Clock, entry: &Entry, queue: &Queue, round: u32) -> Key {
        let tier = self.tier(clock, entry, queue, round);
        (tier, entry.class, queue.priority, self.counted_since(clock, entry, round))
    }

    /// The value of running a round of a job now.
    pub(crate) fn tier(&self, clock: Clock, entry: &Entry, queue: &Queue, round: u32) -> Tier {
        let waited = clock.now.saturating_sub(self.counted_since(clock, entry, round));
        if waited + remaining_critical_path(entry, round) <= objective(&entry.job, queue) {
            Tier::OnTime
        } else if waited <= value_limit(&entry.job, queue) {
            Tier::Late
        } else {
            Tier::Overdue
        }
    }

    /// The last moment at which a round is still in this tier, if its job doesn't change.
    pub(crate) fn tier_end(&self, clock: Clock, entry: &Entry, queue: &Queue, round: u32, tier: Tier) -> Duration {
        let longest = match tier {
            Tier::OnTime => objective(&entry.job, queue).saturating_sub(remaining_critical_path(entry, round)),
            Tier::Late => value_limit(&entry.job, queue),
            Tier::Overdue => return Duration::MAX,
        };
        self.counted_since(clock, entry, round).saturating_add(longest)
    }
}

/// The time after which the result of a job has no value.
pub(crate) fn value_limit(job: &Job, queue: &Queue) -> Duration {
    objective(job, queue) * OVERDUE_FACTOR
}

/// Target for the duration of a job in a queue.
pub(crate) fn objective(job: &Job, queue: &Queue) -> Duration {
    stretched(critical_path(job), queue.stretch) + queue.objective
}

/// Multiplies a duration by a factor from the configuration; an invalid factor counts as 1.
fn stretched(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(time)
}

/// Duration of the critical path, by the caller's estimates.
pub(crate) fn critical_path(job: &Job) -> Duration {
    let mut ends: Vec<Duration> = Vec::new();
    for step in &job.steps {
        let start = step.after.iter().filter_map(|on| ends.get(usize::from(*on))).max().copied().unwrap_or_default();
        ends.push(start + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Duration of the critical path through the steps that aren't done yet.
fn remaining_critical_path(entry: &Entry, round: u32) -> Duration {
    let mut ends: Vec<Duration> = Vec::new();
    for (number, step) in entry.job.steps.iter().enumerate() {
        let start = step.after.iter().filter_map(|on| ends.get(usize::from(*on))).max().copied().unwrap_or_default();
        let done = entry.units.get(&(round, number as u16)).is_some_and(|unit| unit.is_complete());
        ends.push(if done { start } else { start + step.estimate });
    }
    ends.into_iter().max().unwrap_or_default()
}
