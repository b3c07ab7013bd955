//! The latest time at which something was so, which several tasks move on.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Milliseconds of the steady clock; only ever later.
pub(crate) struct LatestTime(AtomicU64);

impl LatestTime {
    pub(crate) fn new(at: Duration) -> LatestTime {
        LatestTime(AtomicU64::new(at.as_millis() as u64))
    }

    /// Takes note of a time, unless a later one is known.
    pub(crate) fn advance(&self, at: Duration) {
        self.0.fetch_max(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// How long before `now` that was.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.0.load(Ordering::Relaxed)))
    }
}
