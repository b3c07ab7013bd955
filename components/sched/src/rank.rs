//! In which order units are served.

use std::time::Duration;

use work::{Job, Queue, Unit};

use crate::engine::{Clock, Engine};
use crate::entry::Entry;

/// A job that ends after this many times its objective earns nothing more.
const OVERDUE_FACTOR: u32 = 3;

/// How much a job still earns by running now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// It can meet its objective.
    OnTime,
    /// It is late, but not too late to be of use.
    Late,
    /// Nobody waits for it any more; it is done on room that nobody else wants.
    Overdue,
}

/// A unit with tasks that wait for a place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub unit: Unit,
    key: (Tier, u32, Duration),
}

impl Candidate {
    /// Whether its job can meet its objective.
    pub(crate) fn on_time(&self) -> bool {
        self.key.0 == Tier::OnTime
    }
}

impl Engine {
    /// Units that could start tasks, the most urgent first.
    pub(crate) fn candidates(&self, clock: Clock) -> Vec<Candidate> {
        let mut found = Vec::new();
        for id in &self.live {
            let Some(entry) = self.jobs.get(id) else { continue };
            let Some(queue) = self.queues.get(&entry.queue) else { continue };
            for ((round, step), unit) in &entry.units {
                if unit.pending == 0 || !entry.unblocked(*round, *step) {
                    continue;
                }
                let key = self.key(clock, entry, queue, *round);
                found.push(Candidate { unit: Unit { job: *id, round: *round, step: *step }, key });
            }
        }
        found.sort_by_key(|candidate| (candidate.key, candidate.unit));
        found
    }

    /// Whether a job that waited so much longer would still be on time.
    pub(crate) fn can_wait(&self, clock: Clock, unit: Unit, time: Duration) -> bool {
        let Some(entry) = self.jobs.get(&unit.job) else { return false };
        let Some(queue) = self.queues.get(&entry.queue) else { return false };
        let waited = clock.now.saturating_sub(self.counted_since(clock, entry, unit.round));
        waited + remaining(entry, unit.round) + time <= objective(&entry.job, queue)
    }

    /// When the time of a round began to count.
    fn counted_since(&self, clock: Clock, entry: &Entry, round: u32) -> Duration {
        match entry.job.schedule {
            Some(_) => clock.now.saturating_sub(clock.wall.saturating_sub(entry.job.due(round))),
            None => entry.accepted.now,
        }
    }

    fn key(&self, clock: Clock, entry: &Entry, queue: &Queue, round: u32) -> (Tier, u32, Duration) {
        let counted_since = self.counted_since(clock, entry, round);
        let objective = objective(&entry.job, queue);
        let waited = clock.now.saturating_sub(counted_since);
        let tier = if waited + remaining(entry, round) <= objective {
            Tier::OnTime
        } else if waited <= objective * OVERDUE_FACTOR {
            Tier::Late
        } else {
            Tier::Overdue
        };
        (tier, queue.priority, counted_since)
    }
}

/// How long a job of a queue should take at most.
pub(crate) fn objective(job: &Job, queue: &Queue) -> Duration {
    stretched(chain(job), queue.stretch) + queue.objective
}

/// A time by a factor of the configuration; a factor that makes no sense counts as 1.
fn stretched(time: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(time)
}

/// The longest chain of steps, by the caller's estimates.
fn chain(job: &Job) -> Duration {
    let mut ends: Vec<Duration> = Vec::new();
    for step in &job.steps {
        let start = step.after.iter().filter_map(|on| ends.get(usize::from(*on))).max().copied().unwrap_or_default();
        ends.push(start + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// The longest chain of steps that aren't done yet.
fn remaining(entry: &Entry, round: u32) -> Duration {
    let mut ends: Vec<Duration> = Vec::new();
    for (number, step) in entry.job.steps.iter().enumerate() {
        let start = step.after.iter().filter_map(|on| ends.get(usize::from(*on))).max().copied().unwrap_or_default();
        let done = entry.units.get(&(round, number as u16)).is_some_and(|unit| unit.is_complete());
        ends.push(if done { start } else { start + step.estimate });
    }
    ends.into_iter().max().unwrap_or_default()
}
