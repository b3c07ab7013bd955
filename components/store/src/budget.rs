//! Each call to the platform is counted, and each use has its own rate, so that no use can starve another.

use std::time::Instant;

use parking_lot::Mutex;

/// What a call to the platform is for, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
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

impl Purpose {
    /// All uses, in the order of their importance.
    pub const ALL: [Purpose; 5] =
        [Purpose::Configuration, Purpose::Claims, Purpose::Acceptance, Purpose::Ends, Purpose::Hosts];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Configuration => "configuration",
            Purpose::Claims => "claims",
            Purpose::Acceptance => "acceptance",
            Purpose::Ends => "ends",
            Purpose::Hosts => "hosts",
        }
    }

    /// This use's part of the whole rate.
    fn share(self) -> f64 {
        match self {
            Purpose::Configuration => 0.25,
            Purpose::Claims => 0.25,
            Purpose::Acceptance => 0.2,
            Purpose::Ends => 0.2,
            Purpose::Hosts => 0.1,
        }
    }
}

/// Calls by use since the start.
pub type Counts = [u64; Purpose::ALL.len()];

struct Bucket {
    tokens: f64,
    filled_at: Instant,
    calls: u64,
}

/// A token bucket for each use. A bucket holds two seconds' worth, and at least two calls.
pub struct Budget {
    per_second: f64,
    buckets: [Mutex<Bucket>; Purpose::ALL.len()],
}

const BURST_SECONDS: f64 = 2.0;
const SMALLEST_BURST: f64 = 2.0;

impl Budget {
    /// Creates full buckets that together refill by `per_second` calls.
    pub fn new(per_second: f64, now: Instant) -> Budget {
        let bucket = |purpose: Purpose| Bucket { tokens: burst(per_second, purpose), filled_at: now, calls: 0 };
        Budget { per_second, buckets: Purpose::ALL.map(|purpose| Mutex::new(bucket(purpose))) }
    }

    /// Takes one call; false when the use has spent its part for now.
    pub fn try_take(&self, purpose: Purpose, now: Instant) -> bool {
        let mut bucket = self.buckets[purpose as usize].lock();
        let elapsed = now.saturating_duration_since(bucket.filled_at).as_secs_f64();
        let filled = bucket.tokens + elapsed * self.per_second * purpose.share();
        bucket.tokens = filled.min(burst(self.per_second, purpose));
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
        Purpose::ALL.map(|purpose| self.buckets[purpose as usize].lock().calls)
    }
}

fn burst(per_second: f64, purpose: Purpose) -> f64 {
    (per_second * purpose.share() * BURST_SECONDS).max(SMALLEST_BURST)
}
