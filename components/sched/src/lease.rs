//! When what runs on a worker has surely ended, reckoned by the worker's own clock.

use std::time::Duration;

use crate::limits::LAPSE_MARGIN;

/// A worker's clock may run this much slow.
const MIN_CLOCK_RATE: f64 = 0.98;

/// What is known of a worker's clock and of the leases that were given there.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lease {
    /// A reading of its clock, and when that arrived here.
    reading: Option<(Duration, Duration)>,
    /// Latest end that a call may have carried there, on its clock.
    until: Duration,
}

impl Lease {
    /// The end for a lease given now, on the worker's clock; `None` before its clock is known.
    pub fn expiry(&self, now: Duration, lease: Duration) -> Option<Duration> {
        let (clock, at) = self.reading?;
        Some(clock + now.saturating_sub(at) + lease)
    }

    /// Takes note of a lease that may have reached the worker. One that surely didn't is not given.
    pub fn grant(&mut self, end: Duration) {
        self.until = self.until.max(end);
    }

    /// Takes note of the worker's clock. At the first contact the leader before may just have given a lease as long as
    /// `inherited`.
    pub fn observe_clock(&mut self, clock: Duration, now: Duration, inherited: Duration) {
        if self.reading.is_none() {
            self.grant(clock + inherited);
        }
        if self.reading.is_none_or(|(latest, _)| clock >= latest) {
            self.reading = Some((clock, now));
        }
    }

    /// Whether every lease has surely run out.
    pub fn is_expired(&self, now: Duration) -> bool {
        let Some((clock, at)) = self.reading else { return false };
        let least = clock + now.saturating_sub(at + LAPSE_MARGIN).mul_f64(MIN_CLOCK_RATE);
        least > self.until
    }
}
