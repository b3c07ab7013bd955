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
const CONFIG_CHECK_AFTER: Duration = Duration::from_millis(1100);
/// For each follower, the time over which they read a new configuration: one of some 50 KB takes half of it on a link of 1 Gbit/s, which the
/// leader's log needs, too.
const CONFIG_READ_DELAY_PER_FOLLOWER: Duration = Duration::from_millis(1);

/// What the leader has told.
pub(crate) struct Heartbeats {
    /// When the leader that is followed was last certain that it leads; `None` once it says that it doesn't.
    leader_confirmed: watch::Sender<Option<Duration>>,
    /// The newest version of the configuration that was told of.
    config_version: watch::Sender<u64>,
    /// The most hosts that are known to have followed a leader.
    followers: AtomicU32,
}

impl Heartbeats {
    pub(crate) fn new() -> Heartbeats {
        Heartbeats {
            leader_confirmed: watch::Sender::new(None),
            config_version: watch::Sender::new(0),
            followers: AtomicU32::new(0),
        }
    }

    /// Takes a sign of life that was asked for at `sent`.
    pub(crate) fn record(&self, alive: &Alive, sent: Duration) {
        self.leader_confirmed.send_replace(alive.unconfirmed_for.map(|age| sent.saturating_sub(age)));
        self.note_followers(alive.followers);
        self.config_version.send_if_modified(|known| {
            let newer = alive.config > *known;
            *known = alive.config.max(*known);
            newer
        });
    }

    /// Takes note of how many hosts follow. A leader that has just begun has few followers, so that the most counts.
    pub(crate) fn note_followers(&self, followers: u32) -> u32 {
        self.followers.fetch_max(followers, Ordering::Relaxed).max(followers)
    }

    /// How long a host that doesn't lead waits before it reads a new configuration.
    pub(crate) fn config_read_delay(&self) -> Duration {
        let over = CONFIG_READ_DELAY_PER_FOLLOWER * self.followers.load(Ordering::Relaxed);
        rand::rng().random_range(Duration::ZERO..=over)
    }
}

/// How long the store needn't be asked who leads: until the lease of the leader that is followed may have run out.
pub(crate) fn leader_confirmed_for(host: &Host) -> Duration {
    match host.role() {
        Role::Following(..) => {
            let until =
                host.heartbeats.leader_confirmed.borrow().map_or(Duration::ZERO, |at| at + host.settings.lease_ttl);
            until.saturating_sub(host.started.elapsed())
        }
        Role::Leading(_) | Role::NoLeader => Duration::ZERO,
    }
}

/// Waits while the leader tells often enough that it leads.
pub(crate) async fn wait_while_leader_confirmed(host: &Host) {
    let mut roles = host.subscribe_role();
    let mut leader_confirmed = host.heartbeats.leader_confirmed.subscribe();
    loop {
        roles.mark_unchanged();
        leader_confirmed.mark_unchanged();
        let remaining = leader_confirmed_for(host);
        if remaining.is_zero() {
            return;
        }
        tokio::select! {
            _ = roles.changed() => {}
            _ = leader_confirmed.changed() => {}
            () = tokio::time::sleep(remaining) => {}
        }
        host.reset_store_silence();
    }
}

/// Waits while the leader tells often enough that this host's configuration is the newest. Whether there is a newer one.
pub(crate) async fn wait_for_newer_config(host: &Host) -> bool {
    let mut config_versions = host.heartbeats.config_version.subscribe();
    loop {
        if *config_versions.borrow_and_update() > host.config().version {
            tokio::time::sleep(host.heartbeats.config_read_delay()).await;
            return true;
        }
        let remaining = CONFIG_CHECK_AFTER.saturating_sub(host.config_age());
        if remaining.is_zero() || !matches!(host.role(), Role::Following(..)) {
            return false;
        }
        // Either wakes the loop: a newer version, or the time is over unless it was told anew.
        let _ = tokio::time::timeout(remaining, config_versions.changed()).await;
    }
}
