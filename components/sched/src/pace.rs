//! Limits what a planning pass may do by the processor time that the leader has.
//!
//! Orders and answers are handled in the order in which they became ready. Once more starts are decided than the process
//! can carry out, an urgent start waits behind all earlier ones, and so does each further step of its job. A window of
//! starts under way, which shrinks while the scheduling lag is long, keeps that queue short; what is beyond it waits in the
//! order of units instead. Everything also waits for a pass under way, so that passes examine fewer units when units take
//! long.

use std::time::Duration;

use crate::pass::Pass;

/// What a planning pass may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Number of starts that it may decide. A gang may exceed it, since its members must start together.
    pub starts: usize,
    /// Number of units that it examines, while many wait, for each of three reasons; see [`crate::selection`].
    pub units: usize,
}

/// Budget without a limit of starts, for a leader that isn't short of processor time.
pub(crate) const UNLIMITED: Budget = Budget { starts: usize::MAX, units: MAX_UNITS };
/// Upper bound of [`Budget::units`].
const MAX_UNITS: usize = 64;
/// Lower bound of [`Budget::units`], so that each waiting unit is examined from time to time.
const MIN_UNITS: usize = 8;
/// Number of reasons for which a pass examines units.
const REASONS: f64 = 3.0;
/// Time that a pass may take.
const MAX_PASS: Duration = Duration::from_millis(10);
/// Weight of the last pass in the smoothed time per unit.
const UNIT_TIME_GAIN: f64 = 0.25;
/// Passes that examine fewer units don't tell how long one takes.
const MIN_MEASURED_UNITS: usize = 8;

/// Scheduling lag above which the window shrinks. An urgent job with a quarter of a second to spare waits for
/// it at each of several steps.
const TARGET_LAG: Duration = Duration::from_millis(10);
/// Interval between two adjustments, long enough to see the effect of the last one.
const ADJUST_INTERVAL: Duration = Duration::from_millis(50);
/// Lower bound of the window: a process that is only suspended for a while must not stop starting runs.
const MIN_STARTS: usize = 32;
/// Upper bound of the window.
const MAX_STARTS: usize = 4096;
/// Window before the first adjustment.
const INITIAL_STARTS: usize = 256;
/// Factor by which the window shrinks.
const DECREASE: f64 = 0.75;
/// Factor by which the window grows, in addition to one start. Starts on workers that have just died stay under way until
/// their timeouts, and must not block all others for that long.
const INCREASE: f64 = 1.25;

/// Adapts the budget of planning passes to the processor time that the leader has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    window: Window,
    /// Smoothed seconds that an examined unit takes in a pass; `None` before the first one is measured.
    unit_time: Option<f64>,
}

impl Pace {
    /// The budget of the next pass while this many starts are under way.
    pub fn budget(&self, under_way: usize) -> Budget {
        let most = |seconds: f64| (MAX_PASS.as_secs_f64() / (REASONS * seconds)) as usize;
        let units = self.unit_time.map_or(MAX_UNITS, most).clamp(MIN_UNITS, MAX_UNITS);
        Budget { starts: self.window.limit.saturating_sub(under_way), units }
    }

    /// The number of starts that may be under way.
    pub fn window(&self) -> usize {
        self.window.limit
    }

    /// Records a pass, and how long it took.
    pub fn note_pass(&mut self, pass: &Pass, took: Duration) {
        self.window.was_full |= pass.held_back;
        if pass.examined < MIN_MEASURED_UNITS {
            return;
        }
        let seconds = took.as_secs_f64() / pass.examined as f64;
        let smoothed = self.unit_time.map_or(seconds, |known| known + UNIT_TIME_GAIN * (seconds - known));
        self.unit_time = Some(smoothed.max(f64::MIN_POSITIVE));
    }

    /// Records how late the process ran a timer, and how many starts were under way then.
    pub fn note_lag(&mut self, now: Duration, lag: Duration, under_way: usize) {
        self.window.observe(now, lag, under_way);
    }
}

/// The number of starts that may be under way.
#[derive(Clone, Copy, Debug)]
struct Window {
    limit: usize,
    adjusted_at: Duration,
    /// Sum of the lags since then, and their number.
    lag: Duration,
    samples: u32,
    /// Whether the window kept a unit from starting since then.
    was_full: bool,
}

impl Default for Window {
    fn default() -> Window {
        Window { limit: INITIAL_STARTS, adjusted_at: Duration::ZERO, lag: Duration::ZERO, samples: 0, was_full: false }
    }
}

impl Window {
    /// Adjusts the window if it is time for it.
    fn observe(&mut self, now: Duration, lag: Duration, under_way: usize) {
        self.lag += lag;
        self.samples += 1;
        if now.saturating_sub(self.adjusted_at) < ADJUST_INTERVAL {
            return;
        }
        let limit = if self.lag / self.samples > TARGET_LAG {
            (self.limit.min(under_way.max(MIN_STARTS)) as f64 * DECREASE) as usize
        } else if self.was_full {
            (self.limit as f64 * INCREASE) as usize + 1
        } else {
            self.limit
        };
        *self = Window { limit: limit.clamp(MIN_STARTS, MAX_STARTS), adjusted_at: now, ..Window::default() };
    }
}
