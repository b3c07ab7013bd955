//! Machines that are suspended: seen from their hosts, a clock that goes on meanwhile has jumped.

use std::time::Duration;

use super::Cell;

impl Cell {
    /// The machine of a host was suspended for so long just now: its steady clock and its timers have stood still.
    pub fn suspend_host(&self, host: &str, time: Duration) {
        *self.suspensions.lock().entry(host.to_owned()).or_default() += time;
    }

    /// The time on the clock of a host that goes on during suspensions.
    pub(super) fn host_time(&self, host: &str) -> Duration {
        self.began.elapsed() + self.suspensions.lock().get(host).copied().unwrap_or_default()
    }
}
