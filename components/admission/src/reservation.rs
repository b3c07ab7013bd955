//! Times at which refused jobs are to come back.
//!
//! Times are given so that in any second no more jobs return than their queue serves, and so that workspaces take
//! turns. A job is only reserved a time at which its result would still have value.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use work::{JobId, QueueName, WorkspaceName};

use crate::demand::Demand;

/// Upper bound on reservations, which bounds their memory to about 1 MB.
const MAX_RESERVATIONS: usize = 10_000;
/// How long after its time a reservation holds: a call of the caller that gets no answer takes up to 3 s.
const VALIDITY: Duration = Duration::from_secs(3);
/// Upper bound on the times that are given, however long the backlog is.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Resolution of the count of returning jobs.
const SLOT: Duration = Duration::from_millis(100);
/// Period in which no more jobs return than a queue serves in it, for queues that serve at least one in this time.
const PERIOD: Duration = Duration::from_secs(1);

/// A time at which a job is to come back.
#[derive(Clone, Debug)]
struct Reservation {
    due: Duration,
    expires: Duration,
}

/// Returning jobs of one queue.
#[derive(Clone, Debug, Default)]
struct Calendar {
    /// Number of jobs that return in each slot.
    slots: BTreeMap<u64, usize>,
    /// For each workspace, the earliest time of its next reservation.
    next: BTreeMap<Option<WorkspaceName>, Duration>,
}

impl Calendar {
    fn drop_past(&mut self, now: Duration) {
        self.slots = self.slots.split_off(&slot(now));
        self.next.retain(|_, next| *next > now);
    }

    /// Whether another job may return at this time if the queue serves `rate` jobs per second. All slots that can
    /// share a period with this one are counted, so the bound holds in any period, wherever it begins.
    fn is_open(&self, at: Duration, rate: f64) -> bool {
        let period = interval(rate).max(PERIOD);
        let most = (rate * PERIOD.as_secs_f64()).max(1.0) as usize;
        let reach = slot(period);
        let around = slot(at).saturating_sub(reach)..=slot(at) + reach;
        self.slots.range(around).map(|(_, count)| count).sum::<usize>() < most
    }

    /// The earliest time from `earliest` on at which it is the workspace's turn.
    fn turn(&self, workspace: &Option<WorkspaceName>, earliest: Duration) -> Duration {
        self.next.get(workspace).copied().unwrap_or_default().max(earliest)
    }

    /// Counts a job that returns at `at`, and puts off the workspace's next turn. One part of the queue's rate is left
    /// for a workspace that has no reservations yet.
    fn take(&mut self, at: Duration, workspace: &Option<WorkspaceName>, turn: Duration, rate: f64) {
        *self.slots.entry(slot(at)).or_default() += 1;
        let others = self.next.keys().filter(|other| *other != workspace).count();
        let parts = if workspace.is_some() { others + 2 } else { 1 };
        self.next.insert(workspace.clone(), turn + interval(rate / parts as f64));
    }
}

/// What is known of a returning job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Return {
    /// It has no reservation.
    Unknown,
    /// Its time comes after this many whole seconds.
    Early(Duration),
    /// Its time has come.
    Due,
}

/// All reservations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    by_job: HashMap<JobId, Reservation>,
    by_expiry: BTreeSet<(Duration, JobId)>,
    calendars: BTreeMap<QueueName, Calendar>,
}

impl Reservations {
    /// Drops what is over.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some((_, job)) = self.by_expiry.first().copied().filter(|(expires, _)| *expires < now) {
            self.remove(job);
        }
        self.calendars.values_mut().for_each(|calendar| calendar.drop_past(now));
    }

    pub(crate) fn remove(&mut self, job: JobId) {
        if let Some(reservation) = self.by_job.remove(&job) {
            self.by_expiry.remove(&(reservation.expires, job));
        }
    }

    pub(crate) fn check(&self, now: Duration, job: JobId) -> Return {
        match self.by_job.get(&job) {
            None => Return::Unknown,
            Some(reservation) if reservation.expires < now => Return::Unknown,
            Some(reservation) if reservation.due <= now => Return::Due,
            Some(reservation) => Return::Early(whole_seconds(reservation.due - now)),
        }
    }

    /// Number of jobs of a queue that are to come back within this time.
    pub(crate) fn due_within(&self, now: Duration, queue: &str, time: Duration) -> usize {
        let slots = self.calendars.get(queue).map(|calendar| calendar.slots.range(slot(now)..slot(now + time)));
        slots.into_iter().flatten().map(|(_, count)| count).sum()
    }

    /// Gives a job the next free time that is at least `relief` away, and reserves it if the job's result would then
    /// have value. `rate` is the number of jobs that the queue serves per second. Returns whole seconds.
    pub(crate) fn reserve(
        &mut self,
        now: Duration,
        job: JobId,
        demand: &Demand,
        relief: Duration,
        rate: f64,
    ) -> Duration {
        self.expire(now);
        let calendar = self.calendars.entry(demand.queue.clone()).or_default();
        let turn = calendar.turn(&demand.workspace, now + relief.min(MAX_RETRY_AFTER));
        let mut after = whole_seconds(turn.saturating_sub(now));
        while !calendar.is_open(now + after, rate) && after < MAX_RETRY_AFTER {
            after += Duration::from_secs(1);
        }
        let useful = after + demand.critical_path <= demand.limit && after < MAX_RETRY_AFTER;
        if useful && self.by_job.len() < MAX_RESERVATIONS {
            calendar.take(now + after, &demand.workspace, turn, rate);
            let reservation = Reservation { due: now + after, expires: now + after + VALIDITY };
            self.by_expiry.insert((reservation.expires, job));
            self.by_job.insert(job, reservation);
        }
        after
    }
}

/// The time between two events at this rate per second, at most [`MAX_RETRY_AFTER`].
fn interval(rate: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER)
}

fn slot(at: Duration) -> u64 {
    (at.as_millis() / SLOT.as_millis()) as u64
}

/// Rounds up to whole seconds, at least 1 and at most [`MAX_RETRY_AFTER`].
pub(crate) fn whole_seconds(time: Duration) -> Duration {
    let partial = u64::from(time.subsec_nanos() > 0);
    Duration::from_secs((time.as_secs() + partial).max(1)).min(MAX_RETRY_AFTER)
}
