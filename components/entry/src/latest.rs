//! The latest time at which something was observed, updated by several tasks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A time in milliseconds of the monotonic clock; it never decreases.
pub(crate) struct LatestTime(AtomicU64);

impl LatestTime {
    pub(crate) fn new(at: Duration) -> LatestTime {
        LatestTime(AtomicU64::new(at.as_millis() as u64))
    }

    /// Records a time, unless a later one is known.
    pub(crate) fn advance(&self, at: Duration) {
        self.0.fetch_max(at.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time elapsed between the recorded time and `now`.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.0.load(Ordering::Relaxed)))
    }
}
