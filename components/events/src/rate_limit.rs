//! Limits how many lines of each event are written per second, so that a persistent fault can't flood the log.

use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::ALL;

/// Most lines of one event per second: several times the rate at which a busy leader starts runs.
pub const MAX_LINES_PER_SECOND: u32 = 2500;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The line is written.
    Written,
    /// The line is written, and this many lines were dropped in an earlier second.
    WrittenAfter(u32),
    /// The line is dropped and counted.
    LeftOut,
}

/// Counts the lines of one event in the current second.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// The second that `lines` counts, since the first line of the process.
    second: AtomicU64,
    lines: AtomicU32,
}

impl RateLimiter {
    /// Decides whether a line at the time `now` is written.
    pub fn admit(&self, now: Duration) -> Admission {
        let second = now.as_secs();
        if self.second.swap(second, Ordering::AcqRel) != second {
            let previous = self.lines.swap(1, Ordering::AcqRel);
            return match previous.saturating_sub(MAX_LINES_PER_SECOND) {
                0 => Admission::Written,
                dropped => Admission::WrittenAfter(dropped),
            };
        }
        match self.lines.fetch_add(1, Ordering::AcqRel) < MAX_LINES_PER_SECOND {
            true => Admission::Written,
            false => Admission::LeftOut,
        }
    }
}

/// Decides whether a line of event `number` is written now. An unknown number isn't limited.
pub fn admit(number: u16) -> Admission {
    static STARTED_AT: LazyLock<Instant> = LazyLock::new(Instant::now);
    static LIMITERS: LazyLock<Vec<RateLimiter>> =
        LazyLock::new(|| ALL.iter().map(|_| RateLimiter::default()).collect());
    let limiter = ALL.binary_search_by_key(&number, |event| event.number).ok().and_then(|index| LIMITERS.get(index));
    limiter.map_or(Admission::Written, |limiter| limiter.admit(STARTED_AT.elapsed()))
}
