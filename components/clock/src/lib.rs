//! The time that goes on while a machine is suspended.
//!
//! A suspended machine's steady clock (`std::time::Instant`) stands still, and with it every age that is reckoned by it: a leader that
//! wakes after ten seconds would take its authority, its leases and what it knows for as fresh as before. Whatever is compared with
//! another machine's time is reckoned by this clock. Timers and waits stay on the steady clock: one that fires late by a suspension
//! only acts late, and looks at this clock before it does.

use std::sync::Arc;
use std::time::Duration;

use nix::time::ClockId;

/// A clock that never goes back and doesn't stand still during a suspension.
#[derive(Clone)]
pub struct Clock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl Clock {
    /// The machine's: time since its boot, with its suspensions.
    ///
    /// # Panics
    /// The first reading does on a system without such a clock; Linux has had it since 2.6.39.
    pub fn system() -> Clock {
        Clock::new(|| ClockId::CLOCK_BOOTTIME.now().expect("a clock that counts suspensions").into())
    }

    /// One that is read by `read`.
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Clock {
        Clock(Arc::new(read))
    }

    /// Its reading.
    pub fn now(&self) -> Duration {
        (self.0)()
    }

    /// Starts to count from now.
    pub fn start(&self) -> Stopwatch {
        Stopwatch { at: self.now(), clock: self.clone() }
    }
}

/// A point of time, to reckon from.
#[derive(Clone)]
pub struct Stopwatch {
    clock: Clock,
    at: Duration,
}

impl Stopwatch {
    /// Time since then, with suspensions.
    pub fn elapsed(&self) -> Duration {
        self.clock.now().saturating_sub(self.at)
    }
}
