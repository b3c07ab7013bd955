//! First attempts of refused jobs. The value of a job's result counts from then, and callers send the job again with
//! the same id.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use work::JobId;

/// How long a first attempt is remembered: longer than callers retry.
const MEMORY: Duration = Duration::from_secs(60);
/// Upper bound on remembered jobs, which bounds their memory to about 2 MB.
const MAX_JOBS: usize = 32_768;

/// First attempts of refused jobs, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Attempts {
    first: HashMap<JobId, Duration>,
    order: VecDeque<(Duration, JobId)>,
}

impl Attempts {
    /// Records that a job was refused.
    pub(crate) fn refused(&mut self, now: Duration, job: JobId) {
        if self.first.contains_key(&job) {
            return;
        }
        self.first.insert(job, now);
        self.order.push_back((now, job));
        while self.order.len() > MAX_JOBS || self.order.front().is_some_and(|(at, _)| now.saturating_sub(*at) > MEMORY)
        {
            let Some((_, oldest)) = self.order.pop_front() else { return };
            self.first.remove(&oldest);
        }
    }

    /// Time since the first attempt of a job; zero if none is known.
    pub(crate) fn elapsed(&self, now: Duration, job: JobId) -> Duration {
        self.first.get(&job).map_or(Duration::ZERO, |at| now.saturating_sub(*at))
    }
}
