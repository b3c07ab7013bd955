//! What a follower learns from the leader's signs of life.
//!
//! While they come it asks the store for nothing: of all calls, those by which every host waits for changes would grow with the hosts.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rand::Rng;
use tokio::sync::watch;

use crate::host::{Host, Role};
use crate::message::Alive;

/// A follower that hasn't been told for so long that its configuration is the newest looks for itself. The leader looks every half a second
/// and signs of life come every 300 ms; operators' changes are to be in force after 2 s.
const CONFIG_TOLD: Duration = Duration::from_millis(1100);
/// For each follower, the time over which they read a new configuration: one of some 50 KB takes half of it on a link of 1 Gbit/s, which the
/// leader's log needs, too.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// What the leader has told.
pub(crate) struct Signs {
    /// When the leader that is followed was last certain that it leads; `None` once it says that it doesn't.
    certain: watch::Sender<Option<Duration>>,
    /// The newest version of the configuration that was told of.
    version: watch::Sender<u64>,
    /// The most hosts that are known to have followed a leader.
    followers: AtomicU32,
}

impl Signs {
    pub(crate) fn new() -> Signs {
        Signs { certain: watch::Sender::new(None), version: watch::Sender::new(0), followers: AtomicU32::new(0) }
    }

    /// Takes a sign of life that was asked for at `sent`.
    pub(crate) fn take(&self, alive: &Alive, sent: Duration) {
        self.certain.send_replace(alive.certain.map(|age| sent.saturating_sub(age)));
        self.count(alive.followers);
        self.version.send_if_modified(|known| {
            let newer = alive.config > *known;
            *known = alive.config.max(*known);
            newer
        });
    }

    /// Takes note of how many hosts follow. A leader that has just begun has few followers, so that the most counts.
    pub(crate) fn count(&self, followers: u32) -> u32 {
        self.followers.fetch_max(followers, Ordering::Relaxed).max(followers)
    }

    /// How long a host that doesn't lead waits before it reads a new configuration.
    pub(crate) fn read_pause(&self) -> Duration {
        let over = READ_PAUSE * self.followers.load(Ordering::Relaxed);
        rand::rng().random_range(Duration::ZERO..=over)
    }
}

/// How long the store needn't be asked who leads: until the lease of the leader that is followed may have run out.
pub(crate) fn leads_for(host: &Host) -> Duration {
    match host.role() {
        Role::Following(..) => {
            let until = host.signs.certain.borrow().map_or(Duration::ZERO, |at| at + host.settings.lease_ttl);
            until.saturating_sub(host.started.elapsed())
        }
        Role::Leading(_) | Role::NoLeader => Duration::ZERO,
    }
}

/// Waits while the leader tells often enough that it leads.
pub(crate) async fn leads(host: &Host) {
    let mut roles = host.roles();
    let mut certain = host.signs.certain.subscribe();
    loop {
        roles.mark_unchanged();
        certain.mark_unchanged();
        let left = leads_for(host);
        if left.is_zero() {
            return;
        }
        tokio::select! {
            _ = roles.changed() => {}
            _ = certain.changed() => {}
            () = tokio::time::sleep(left) => {}
        }
        host.ask_store();
    }
}

/// Waits while the leader tells often enough that this host's configuration is the newest. Whether there is a newer one.
pub(crate) async fn newer_config(host: &Host) -> bool {
    let mut versions = host.signs.version.subscribe();
    loop {
        if *versions.borrow_and_update() > host.config().version {
            tokio::time::sleep(host.signs.read_pause()).await;
            return true;
        }
        let left = CONFIG_TOLD.saturating_sub(host.config_age());
        if left.is_zero() || !matches!(host.role(), Role::Following(..)) {
            return false;
        }
        // Either wakes the loop: a newer version, or the time is over unless it was told anew.
        let _ = tokio::time::timeout(left, versions.changed()).await;
    }
}
