//! New work of the last seconds. More of it is expected, and part of that overtakes jobs that wait already.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use work::QueueName;

use crate::load::{Class, Work};
use crate::meter::WINDOW;

/// New jobs of one queue and class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Arrivals {
    /// Work of all jobs, whether they were admitted or refused.
    pub offered: Work,
    /// Work of admitted jobs.
    pub admitted: Work,
    /// Number of admitted jobs.
    pub jobs: usize,
}

type Sums = BTreeMap<(QueueName, Class), Arrivals>;

/// New jobs by queue and class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inflow {
    /// Since the last snapshot.
    recent: Sums,
    /// Between earlier snapshots, oldest first, each with the time of the earlier one.
    past: VecDeque<(Duration, Sums)>,
    snapshot_at: Duration,
}

impl Inflow {
    pub(crate) fn offer(&mut self, queue: &QueueName, class: Class, work: Work) {
        self.recent.entry((queue.clone(), class)).or_default().offered += work;
    }

    pub(crate) fn admit(&mut self, queue: &QueueName, class: Class, work: Work) {
        let arrivals = self.recent.entry((queue.clone(), class)).or_default();
        arrivals.admitted += work;
        arrivals.jobs += 1;
    }

    /// Whether jobs were refused since the last snapshot.
    pub(crate) fn has_refused(&self) -> bool {
        self.recent.values().any(|arrivals| arrivals.offered.starts > arrivals.admitted.starts)
    }

    /// Records that a snapshot was taken: it contains what was admitted before.
    pub(crate) fn snapshot(&mut self, at: Duration) {
        self.past.push_back((self.snapshot_at, std::mem::take(&mut self.recent)));
        self.snapshot_at = at;
        while self.past.front().is_some_and(|(from, _)| at.saturating_sub(*from) > WINDOW) {
            self.past.pop_front();
        }
    }

    /// Jobs that the last snapshot doesn't contain.
    pub(crate) fn recent(&self) -> impl Iterator<Item = (&QueueName, Class, &Arrivals)> {
        self.recent.iter().map(|((queue, class), arrivals)| (queue, *class, arrivals))
    }

    /// Jobs of the last [`WINDOW`] before the snapshot.
    pub(crate) fn past(&self) -> impl Iterator<Item = (&QueueName, Class, &Arrivals)> {
        self.past.iter().flat_map(|(_, sums)| sums.iter().map(|((queue, class), sum)| (queue, *class, sum)))
    }
}
