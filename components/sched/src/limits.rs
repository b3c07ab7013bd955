//! Bounds that the decisions reckon with.

use std::time::Duration;

/// Bounds of the platform on which the workers run.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest lease that workers take.
    pub max_lease: Duration,
    /// Leases that leaders of this version give; see [`lease`].
    pub lease: Duration,
    /// How long the state of an ended job can be asked for.
    pub keep_ended: Duration,
}

/// Leases are at most this long. They outlast cuts of some 6 s, and what ran on a worker that is gone starts again as soon
/// as they are over: with longer ones lasting tasks stay away for longer than is allowed.
const LEASE: Duration = Duration::from_secs(7);

/// The leases that are given where workers take at most `max_lease`.
pub fn lease(max_lease: Duration) -> Duration {
    max_lease.min(LEASE)
}

/// How long after its last confirmation a leader may still give orders. Until then the next one does not repeat what
/// an unreachable worker may run. Long enough for the store's usual outages of 4 to 7 s.
pub const AUTHORITY_TIMEOUT: Duration = Duration::from_secs(7);
/// A worker's clock may run this much slow: leases last so much longer by ours.
pub(crate) const CLOCK_SLACK: f64 = 1.02;
/// Added to the time after which an unreachable worker's tasks have surely ended: covers timers that fire late.
pub(crate) const LAPSE_MARGIN: Duration = Duration::from_millis(100);
/// A ticket must hold this much longer when a start is sent: the order takes a few milliseconds on its way.
pub(crate) const TICKET_MARGIN: Duration = Duration::from_millis(60);
/// When a start is decided, the ticket must hold as much longer as starts have taken from there to their answers, but no more than
/// this: a quarter of what tickets usually hold.
pub(crate) const MAX_TICKET_MARGIN: Duration = Duration::from_millis(500);

impl Limits {
    /// Bounds for tests.
    #[doc(hidden)]
    pub fn example() -> Limits {
        Limits {
            max_lease: Duration::from_secs(6),
            lease: Duration::from_secs(6),
            keep_ended: Duration::from_secs(120),
        }
    }

    /// Time after which everything that nobody renewed has surely ended.
    pub(crate) fn surely_lapsed(&self) -> Duration {
        self.lease.mul_f64(CLOCK_SLACK) + LAPSE_MARGIN
    }

    /// Time after which a lease that was given just now has surely run out, however long it was meant to be.
    pub(crate) fn longest_lease(&self) -> Duration {
        self.max_lease.mul_f64(CLOCK_SLACK) + LAPSE_MARGIN
    }

    /// The longest lease that the leader before may have given: ours, if it is known to be of this version.
    ///
    /// Always reckoning with the longest that workers take, a lasting task on a worker that is gone after a takeover would come back
    /// too late.
    pub fn predecessor_lease(&self, predecessor_known: bool) -> Duration {
        if predecessor_known { self.lease } else { self.max_lease }
    }

    /// How much longer than ours the leases of an earlier version may be.
    pub(crate) fn longer_before(&self) -> Duration {
        self.max_lease.saturating_sub(self.lease).mul_f64(CLOCK_SLACK)
    }
}
