//! Each call to the platform is counted, and each use has its own rate, so that no use can starve another.

use std::time::Instant;

use parking_lot::Mutex;

/// What a call to the platform is for, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Use {
    /// Reading and watching the configuration.
    Configuration,
    /// Claims on partitions.
    Claims,
    /// Accepting operators' changes.
    Acceptance,
    /// Recording ends of tasks.
    Ends,
    /// The list of hosts.
    Hosts,
}

impl Use {
    /// All uses, in the order of their importance.
    pub const ALL: [Use; 5] = [Use::Configuration, Use::Claims, Use::Acceptance, Use::Ends, Use::Hosts];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Use::Configuration => "configuration",
            Use::Claims => "claims",
            Use::Acceptance => "acceptance",
            Use::Ends => "ends",
            Use::Hosts => "hosts",
        }
    }

    /// This use's part of the whole rate.
    fn share(self) -> f64 {
        match self {
            Use::Configuration => 0.25,
            Use::Claims => 0.25,
            Use::Acceptance => 0.2,
            Use::Ends => 0.2,
            Use::Hosts => 0.1,
        }
    }
}

/// Calls by use since the start.
pub type Counts = [u64; Use::ALL.len()];

struct Bucket {
    tokens: f64,
    filled_at: Instant,
    calls: u64,
}

/// A token bucket for each use. A bucket holds two seconds' worth, and at least two calls.
pub struct Budget {
    per_second: f64,
    buckets: [Mutex<Bucket>; Use::ALL.len()],
}

const BURST_SECONDS: f64 = 2.0;
const SMALLEST_BURST: f64 = 2.0;

impl Budget {
    /// Creates full buckets that together refill by `per_second` calls.
    pub fn new(per_second: f64, now: Instant) -> Budget {
        let bucket = |usage: Use| Bucket { tokens: burst(per_second, usage), filled_at: now, calls: 0 };
        Budget { per_second, buckets: Use::ALL.map(|usage| Mutex::new(bucket(usage))) }
    }

    /// Takes one call; false when the use has spent its part for now.
    pub fn take(&self, usage: Use, now: Instant) -> bool {
        let mut bucket = self.buckets[usage as usize].lock();
        let elapsed = now.saturating_duration_since(bucket.filled_at).as_secs_f64();
        let filled = bucket.tokens + elapsed * self.per_second * usage.share();
        bucket.tokens = filled.min(burst(self.per_second, usage));
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        bucket.calls += 1;
        true
    }

    /// Calls by use since the start.
    pub fn counts(&self) -> Counts {
        Use::ALL.map(|usage| self.buckets[usage as usize].lock().calls)
    }
}

fn burst(per_second: f64, usage: Use) -> f64 {
    (per_second * usage.share() * BURST_SECONDS).max(SMALLEST_BURST)
}
