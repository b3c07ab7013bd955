//! Counts calls to the platform and limits their rate by purpose, so that no purpose can starve another.

use std::time::Instant;

use parking_lot::Mutex;

/// The purpose of a call to the platform, most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Reading and watching the configuration.
    Configuration,
    /// Claims on partitions.
    Claims,
    /// Committing operators' changes.
    Acceptance,
    /// Recording ended tasks.
    Ends,
    /// Reading the list of hosts.
    Hosts,
}

impl Purpose {
    /// All purposes, most important first.
    pub const ALL: [Purpose; 5] =
        [Purpose::Configuration, Purpose::Claims, Purpose::Acceptance, Purpose::Ends, Purpose::Hosts];

    /// The label value in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Configuration => "configuration",
            Purpose::Claims => "claims",
            Purpose::Acceptance => "acceptance",
            Purpose::Ends => "ends",
            Purpose::Hosts => "hosts",
        }
    }

    /// Fraction of the total rate that this purpose gets.
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

/// Number of calls since the start, by purpose.
pub type Counts = [u64; Purpose::ALL.len()];

struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    calls: u64,
}

/// Rate limiter with one token bucket per purpose. A bucket holds the calls of two seconds, but at least two calls.
pub struct Budget {
    per_second: f64,
    buckets: [Mutex<Bucket>; Purpose::ALL.len()],
}

const BURST_SECONDS: f64 = 2.0;
const MIN_BURST: f64 = 2.0;

impl Budget {
    /// Creates full buckets whose total refill rate is `per_second` calls.
    pub fn new(per_second: f64, now: Instant) -> Budget {
        let bucket = |purpose: Purpose| Bucket { tokens: burst(per_second, purpose), refilled_at: now, calls: 0 };
        Budget { per_second, buckets: Purpose::ALL.map(|purpose| Mutex::new(bucket(purpose))) }
    }

    /// Takes a token for one call. Returns false if the bucket of this purpose is empty.
    pub fn try_take(&self, purpose: Purpose, now: Instant) -> bool {
        let mut bucket = self.buckets[purpose as usize].lock();
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        let tokens = bucket.tokens + elapsed * self.per_second * purpose.share();
        bucket.tokens = tokens.min(burst(self.per_second, purpose));
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        bucket.calls += 1;
        true
    }

    /// Number of calls since the start, by purpose.
    pub fn counts(&self) -> Counts {
        Purpose::ALL.map(|purpose| self.buckets[purpose as usize].lock().calls)
    }
}

fn burst(per_second: f64, purpose: Purpose) -> f64 {
    (per_second * purpose.share() * BURST_SECONDS).max(MIN_BURST)
}
