//! A monotonic clock that includes the time during which the machine is suspended.
//!
//! `std::time::Instant` stands still while the machine is suspended, and so does every age computed from it: a leader that
//! resumes after ten seconds would consider its authority, its leases and its state as fresh as before. So this clock is
//! used for every time that is compared with the time of another machine. Timers and waits use the monotonic clock: a
//! timer that is delayed by a suspension only acts late, and checks this clock before it acts.

use std::sync::Arc;
use std::time::Duration;

use nix::time::ClockId;

/// A clock that never goes backwards and does not stop while the machine is suspended.
#[derive(Clone)]
pub struct Clock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl Clock {
    /// The clock of the system: time since boot, including suspensions.
    ///
    /// # Panics
    /// Reading the clock panics on a system without `CLOCK_BOOTTIME`; Linux has it since 2.6.39.
    pub fn system() -> Clock {
        Clock::new(|| ClockId::CLOCK_BOOTTIME.now().expect("the system has CLOCK_BOOTTIME").into())
    }

    /// A clock whose time is returned by `read`.
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Clock {
        Clock(Arc::new(read))
    }

    /// The current time of the clock.
    pub fn now(&self) -> Duration {
        (self.0)()
    }

    /// Starts a stopwatch.
    pub fn start(&self) -> Stopwatch {
        Stopwatch { started_at: self.now(), clock: self.clone() }
    }
}

/// Processor time that this process has used so far, of all its threads.
///
/// # Panics
/// Panics on a system without `CLOCK_PROCESS_CPUTIME_ID`; Linux has it since 2.6.12.
pub fn process_cpu_time() -> Duration {
    ClockId::CLOCK_PROCESS_CPUTIME_ID.now().expect("the system has CLOCK_PROCESS_CPUTIME_ID").into()
}

/// Measures the time since its start, including suspensions.
#[derive(Clone)]
pub struct Stopwatch {
    clock: Clock,
    started_at: Duration,
}

impl Stopwatch {
    /// Time since the start, including suspensions.
    pub fn elapsed(&self) -> Duration {
        self.clock.now().saturating_sub(self.started_at)
    }
}
