//! Measures the rate at which a budget is served while work waits for it.

use std::collections::VecDeque;
use std::time::Duration;

/// Period over which rates are measured. Shorter ones vary with single gangs; longer ones follow a change of load too
/// slowly for queues whose jobs have value for a few seconds only.
pub(crate) const WINDOW: Duration = Duration::from_secs(2);
/// No rate is known before a budget was observed, or was saturated, for this long in the window: three snapshots.
/// Single ones may fall between the end of a run and the next start. Until then all jobs are admitted, and what a burst
/// brings in this time may be served in vain.
const MIN_SPAN: Duration = Duration::from_millis(600);
/// One observation of a budget.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub at: Duration,
    /// Total served so far.
    pub served: f64,
    /// Units per second that are being served now. Long runs count here while they last.
    pub in_service: f64,
    /// Whether work waits and the budget has nothing left for it.
    pub saturated: bool,
}

/// Recent observations of a budget.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    samples: VecDeque<Sample>,
}

impl Meter {
    pub(crate) fn record(&mut self, sample: Sample) {
        self.samples.push_back(sample);
        while self.samples.get(1).is_some_and(|second| sample.at.saturating_sub(second.at) >= WINDOW) {
            self.samples.pop_front();
        }
    }

    /// Time between the oldest and the newest sample; `None` if it is too short for a rate.
    fn span(&self) -> Option<Duration> {
        let span = self.samples.back()?.at.saturating_sub(self.samples.front()?.at);
        (span >= MIN_SPAN).then_some(span)
    }

    /// Units served per second, whether or not work waited.
    pub(crate) fn throughput(&self) -> Option<f64> {
        let served = self.samples.back()?.served - self.samples.front()?.served;
        Some(served / self.span()?.as_secs_f64())
    }

    /// Units that the budget serves per second when it is saturated; `None` if it isn't. Of what was completed and
    /// what is in service, the larger counts: runs that began with the burst complete nothing at first, and a rate
    /// that is too low would refuse jobs that can be served.
    pub(crate) fn saturated_rate(&self) -> Option<f64> {
        self.samples.back().filter(|newest| newest.saturated)?;
        let (mut served, mut in_service, mut time) = (0.0, 0.0, 0.0);
        let pairs = self.samples.iter().zip(self.samples.iter().skip(1));
        for (from, to) in pairs.filter(|(from, _)| from.saturated) {
            let elapsed = to.at.saturating_sub(from.at).as_secs_f64();
            served += to.served - from.served;
            in_service += from.in_service * elapsed;
            time += elapsed;
        }
        let rate = f64::max(served, in_service) / time;
        (time >= MIN_SPAN.as_secs_f64() && rate > 0.0).then_some(rate)
    }
}
