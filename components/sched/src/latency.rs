//! Estimates response times from observed ones, and derives timeouts from them as in RFC 6298.

use std::time::Duration;

/// Weight of the newest sample in the smoothed response time, as in RFC 6298.
const TIME_GAIN: f64 = 0.125;
/// Weight of the newest sample in the smoothed deviation, as in RFC 6298.
const DEVIATION_GAIN: f64 = 0.25;
/// The timeout exceeds the smoothed response time by this many deviations, as in RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Smoothed response time and its deviation, which are unknown before the first answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Latency {
    known: Option<Smoothed>,
    /// Number of calls without an answer since the last answered one.
    missed: u32,
}

/// Smoothed response time and deviation, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Smoothed {
    time: f64,
    deviation: f64,
}

impl Latency {
    /// Records the response time of an answered call.
    pub fn observe(&mut self, took: Duration) {
        self.missed = 0;
        let took = took.as_secs_f64();
        self.known = Some(match self.known {
            None => Smoothed { time: took, deviation: took / 2.0 },
            Some(Smoothed { time, deviation }) => Smoothed {
                time: time + TIME_GAIN * (took - time),
                deviation: deviation + DEVIATION_GAIN * ((took - time).abs() - deviation),
            },
        });
    }

    /// Records that a call had no answer in time. This doubles the next timeout: otherwise slower answers would never
    /// be observed.
    pub fn record_timeout(&mut self) {
        self.missed += 1;
    }

    /// The smoothed response time; `None` before the first answer.
    pub fn smoothed(&self) -> Option<Duration> {
        self.known.map(|known| Duration::from_secs_f64(known.time))
    }

    /// Timeout of the next call, between `least` and `most`; `most` before the first answer.
    pub fn timeout(&self, least: Duration, most: Duration) -> Duration {
        let Some(Smoothed { time, deviation }) = self.known else { return most };
        let usual = Duration::from_secs_f64(time + DEVIATIONS * deviation).clamp(least, most);
        usual.saturating_mul(2u32.saturating_pow(self.missed)).min(most)
    }
}
