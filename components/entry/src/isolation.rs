//! Detects that a leader is on the minority side of a network partition.
//!
//! Such a leader keeps the leases of the workers that it reaches, but it can accept nothing, and a host on the other
//! side may have replaced it. It and its followers report that they aren't ready, so that the load balancer sends
//! callers to the other side instead of to hosts that refuse each request for as long as the partition lasts.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use events::emit;

use crate::host::Host;
use crate::leadership::Leadership;

/// Whether a leader is cut off: its lease may have expired, and most of the hosts that followed it while it was certain to
/// lead are silent.
///
/// During an outage of the store the followers still answer. Then no other host can serve callers either, and all
/// remain ready so that requests are accepted as soon as the store is back.
#[must_use]
pub fn is_isolated(unconfirmed_for: Duration, lease_ttl: Duration, live_followers: usize, followers: usize) -> bool {
    unconfirmed_for >= lease_ttl && live_followers * 2 < followers
}

/// Whether this host's leader, or this host while it leads, is cut off.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    isolated: AtomicBool,
    /// Number of live followers when this host was last certain to lead.
    followers: AtomicUsize,
}

impl Isolation {
    pub(crate) fn get(&self) -> bool {
        self.isolated.load(Ordering::Relaxed)
    }

    /// Updates the state and logs a change.
    pub(crate) fn set(&self, host: &Host, isolated: bool) {
        if self.isolated.swap(isolated, Ordering::Relaxed) != isolated {
            let (leader, term) = host.leader().map(|leader| (leader.host, leader.term)).unwrap_or_default();
            match isolated {
                true => emit!(host.log, events::HOST_ISOLATED, "leader" => leader, "term" => term),
                false => emit!(host.log, events::HOST_CONNECTED, "leader" => leader, "term" => term),
            }
        }
    }
}

/// Checks whether the leader is cut off.
pub(crate) fn check(leadership: &Leadership) {
    let host = &leadership.host;
    let (unconfirmed_for, lease_ttl) = (leadership.unconfirmed_for(), host.settings.lease_ttl);
    let live = host.live_followers().len();
    // A follower behind a partition still counts as live for at least 0.7 s, which is longer than half of the lease, so
    // the number is that from before the partition.
    if unconfirmed_for < lease_ttl / 2 {
        host.isolation.followers.store(live, Ordering::Relaxed);
    }
    let followers = host.isolation.followers.load(Ordering::Relaxed);
    let isolated = !leadership.has_ended() && is_isolated(unconfirmed_for, lease_ttl, live, followers);
    host.isolation.set(host, isolated);
}
