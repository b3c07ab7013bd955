//! Corrects a queue's forecasts by how long its jobs have really waited.

use std::time::Duration;

/// Weight of the newest sample: the ratio follows a change within some ten jobs.
const GAIN: f64 = 0.1;
/// Bounds of one sample, so that a single job doesn't decide.
const SAMPLE_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Bounds of the applied ratio. Below 1 it would only follow the jobs that were served in time: the others turned late
/// and let them pass, and admitting more makes more of them late. Beyond a factor of two the cause is something that
/// the forecast doesn't know, such as a silent store, and it may end at any time.
const RATIO_BOUNDS: (f64, f64) = (1.0, 2.0);
/// Shorter forecast waits are dominated by the age of the snapshot.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// The ratio is forgotten when no job has started for this long.
const MEMORY: Duration = Duration::from_secs(5);

/// Smoothed ratio of observed to forecast waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Correction {
    ratio: f64,
    at: Duration,
}

impl Default for Correction {
    fn default() -> Correction {
        Correction { ratio: 1.0, at: Duration::ZERO }
    }
}

impl Correction {
    /// Records the wait of a job that has started. `forecast` is its uncorrected forecast at admission.
    pub(crate) fn observe(&mut self, now: Duration, forecast: Duration, waited: Duration) {
        if forecast < MIN_WAIT {
            return;
        }
        let sample = (waited.as_secs_f64() / forecast.as_secs_f64()).clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        self.ratio = self.current(now) + GAIN * (sample - self.current(now));
        self.at = now;
    }

    /// The factor by which forecast waits are multiplied.
    pub(crate) fn ratio(&self, now: Duration) -> f64 {
        self.current(now).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1)
    }

    fn current(&self, now: Duration) -> f64 {
        if now.saturating_sub(self.at) > MEMORY { 1.0 } else { self.ratio }
    }
}
