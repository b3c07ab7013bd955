//! Computes when all leases of a worker have certainly expired, by the worker's own clock.

use std::time::Duration;

use crate::limits::LAPSE_MARGIN;

/// The slowest rate that is assumed for a worker's clock.
const MIN_CLOCK_RATE: f64 = 0.98;

/// What is known of a worker's clock and of its leases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    /// A reading of its clock, and when that arrived here.
    reading: Option<(Duration, Duration)>,
    /// Latest expiry of all leases that may have reached the worker, by its clock.
    until: Duration,
    /// By how much leases may last longer than they were granted for, since the worker has restarted with a new clock.
    excess: Duration,
}

impl Lease {
    /// The expiry of a lease granted now, by the worker's clock; `None` before its clock is known.
    pub fn expiry(&self, now: Duration, lease: Duration) -> Option<Duration> {
        let (clock, at) = self.reading?;
        Some(clock + now.saturating_sub(at) + lease)
    }

    /// Records a lease that may have reached the worker. One that certainly didn't reach it must not be recorded.
    pub fn grant(&mut self, end: Duration) {
        self.until = self.until.max(end);
    }

    /// Records a reading of the worker's clock. Before the first one, the previous leader may just have granted a
    /// lease of duration `inherited`.
    pub fn observe_clock(&mut self, clock: Duration, now: Duration, inherited: Duration) {
        if self.reading.is_none() {
            self.grant(clock + inherited);
        }
        if self.reading.is_none_or(|(latest, _)| clock >= latest) {
            self.reading = Some((clock, now));
        }
    }

    /// Records that the worker has restarted under the same id. Its clock may have begun anew, so that it takes deadlines on the
    /// earlier one for distant ones, and cuts the leases to the longest that workers accept, which is longer by `excess`.
    pub fn note_restart(&mut self, excess: Duration) {
        self.excess = excess;
    }

    /// Whether all leases have certainly expired.
    pub fn is_expired(&self, now: Duration) -> bool {
        let Some((clock, at)) = self.reading else { return false };
        let least = clock + now.saturating_sub(at + LAPSE_MARGIN).mul_f64(MIN_CLOCK_RATE);
        least > self.until + self.excess
    }
}
