//! Simulates suspended machines. A host sees that a clock that runs on during the suspension has jumped.

use std::time::Duration;

use super::Cell;

impl Cell {
    /// Simulates that the machine of a host has just been suspended for `duration`, during which its monotonic clock
    /// and its timers stood still.
    pub fn suspend_host(&self, host: &str, duration: Duration) {
        *self.suspensions.lock().entry(host.to_owned()).or_default() += duration;
    }

    /// The time on a host's clock that runs on during suspensions.
    pub(super) fn host_time(&self, host: &str) -> Duration {
        self.started_at.elapsed() + self.suspensions.lock().get(host).copied().unwrap_or_default()
    }
}
