//! How long answers take, learnt from those that came, and how long it is worth waiting for the next one.

use std::time::Duration;

/// Weight of the newest answer in the smoothed time; that of RFC 6298.
const TIME_GAIN: f64 = 0.125;
/// Weight of the newest answer in the smoothed deviation; that of RFC 6298.
const DEVIATION_GAIN: f64 = 0.25;
/// An answer that takes this many deviations longer than usual isn't expected any more; that of RFC 6298.
const DEVIATIONS: f64 = 4.0;

/// Smoothed time of answers, and its deviation. Nothing is known before the first answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Latency {
    known: Option<Smoothed>,
    /// Calls without an answer since the last one that was answered.
    missed: u32,
}

/// Both in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Smoothed {
    time: f64,
    deviation: f64,
}

impl Latency {
    /// Takes in how long an answer took.
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

    /// A call had no answer in time: the next one is waited for twice as long, or answers that have become slow would never be
    /// learnt of.
    pub fn record_timeout(&mut self) {
        self.missed += 1;
    }

    /// How long an answer usually takes; `None` before the first one.
    pub fn smoothed(&self) -> Option<Duration> {
        self.known.map(|known| Duration::from_secs_f64(known.time))
    }

    /// How long to wait for the next answer, within these bounds; the longest while nothing is known.
    pub fn timeout(&self, least: Duration, most: Duration) -> Duration {
        let Some(Smoothed { time, deviation }) = self.known else { return most };
        let usual = Duration::from_secs_f64(time + DEVIATIONS * deviation).clamp(least, most);
        usual.saturating_mul(2u32.saturating_pow(self.missed)).min(most)
    }
}
