//! Time limits on which the scheduler's decisions are based.

use std::time::Duration;

/// Time limits of the platform that runs the workers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest lease that workers accept.
    pub max_lease: Duration,
    /// Duration of the leases that leaders of this version grant; see [`lease`].
    pub lease: Duration,
    /// How long an ended job is kept for queries of its state.
    pub keep_ended: Duration,
}

/// Upper bound on leases. They survive network partitions of about 6 s, and what ran on a lost worker starts again as
/// soon as they have expired. With longer leases, long-running tasks would be down for longer than allowed.
const LEASE: Duration = Duration::from_secs(7);

/// Duration of the leases that are granted if workers accept at most `max_lease`.
pub fn lease(max_lease: Duration) -> Duration {
    max_lease.min(LEASE)
}

/// How long after its last confirmation a leader may still give orders. Until then the next leader doesn't restart
/// what an unreachable worker may run. It covers the usual store outages of 4 to 7 s.
pub const AUTHORITY_TIMEOUT: Duration = Duration::from_secs(7);
/// How long after the last renewal of its own lease in the store the leases that a leader grants end at the latest. The next
/// leader then needn't wait for a leader's authority and a whole lease beyond it before it restarts what a lost worker ran.
/// Runs survive store outages of up to 7 s, with the time until the next renewals.
const LEASE_HORIZON: Duration = Duration::from_secs(8);
/// How long after it was sent a call to a worker may still be carried out: workers may be slow to do so, and answer late or not at
/// all.
const MAX_CALL_DELAY: Duration = Duration::from_secs(12);
/// Leases last up to this much longer by our clock, since a worker's clock may run slow.
pub(crate) const CLOCK_SLACK: f64 = 1.02;
/// Added to the time after which the tasks of an unreachable worker have certainly ended; covers timers that fire
/// late.
pub(crate) const LAPSE_MARGIN: Duration = Duration::from_millis(100);
/// Minimum remaining validity of a ticket when a start is sent: the order takes a few milliseconds to arrive.
pub(crate) const TICKET_MARGIN: Duration = Duration::from_millis(60);
/// Upper bound on the minimum remaining validity of a ticket when a start is decided, which is the usual time from
/// the decision to the worker's answer. The bound is a quarter of the usual validity of tickets.
pub(crate) const MAX_TICKET_MARGIN: Duration = Duration::from_millis(500);

impl Limits {
    /// Limits for tests.
    #[doc(hidden)]
    pub fn example() -> Limits {
        Limits {
            max_lease: Duration::from_secs(6),
            lease: Duration::from_secs(6),
            keep_ended: Duration::from_secs(120),
        }
    }

    /// The longest lease that a leader may grant whose own lease in the store was last renewed this long ago.
    pub fn grantable_lease(&self, unrenewed_for: Duration) -> Duration {
        self.lease.min(LEASE_HORIZON.saturating_sub(unrenewed_for))
    }

    /// Time after which all leases have certainly ended that leaders with a [`Limits::grantable_lease`] granted, if the last
    /// of them was replaced. `vacant_for` is the time from the last renewal of its own lease to its replacement at least.
    pub fn replaced_lapse_time(&self, vacant_for: Duration) -> Duration {
        (LEASE_HORIZON.mul_f64(CLOCK_SLACK) + LAPSE_MARGIN).saturating_sub(vacant_for).max(self.lease_lapse_time())
    }

    /// Minimum time by a leader's clock that a lease in the store lasts whose duration by the store's clock is `ttl`.
    pub fn min_store_lease(ttl: Duration) -> Duration {
        ttl.div_f64(CLOCK_SLACK)
    }

    /// Time after which everything that wasn't renewed has certainly ended.
    pub fn lease_lapse_time(&self) -> Duration {
        self.lease.mul_f64(CLOCK_SLACK) + LAPSE_MARGIN
    }

    /// Time after which a lease granted just now has certainly expired, whatever its duration.
    pub(crate) fn max_lease_lapse_time(&self) -> Duration {
        self.max_lease.mul_f64(CLOCK_SLACK) + LAPSE_MARGIN
    }

    /// Time after which no lease is left that was meant for an earlier incarnation of a worker, if no call was sent to that one any
    /// more.
    pub(crate) fn former_lapse_time(&self) -> Duration {
        MAX_CALL_DELAY + self.max_lease_lapse_time()
    }

    /// The longest lease that the previous leader may have granted: that of this version, if the previous leader is
    /// known to run it.
    ///
    /// If the longest lease that workers accept were always assumed, a long-running task on a worker lost after a
    /// takeover would restart too late.
    pub fn predecessor_lease(&self, predecessor_known: bool) -> Duration {
        if predecessor_known { self.lease } else { self.max_lease }
    }

    /// How long after its replacement a leader may still grant leases; more if it may run an earlier version.
    pub fn activity(&self, known: bool) -> Duration {
        AUTHORITY_TIMEOUT + if known { Duration::ZERO } else { self.predecessor_lease_excess() }
    }

    /// By how much the leases of an earlier version may exceed those of this one.
    fn predecessor_lease_excess(&self) -> Duration {
        self.max_lease.saturating_sub(self.lease).mul_f64(CLOCK_SLACK)
    }
}
