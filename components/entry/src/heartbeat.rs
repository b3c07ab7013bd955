//! State that a follower learns from the leader's heartbeats (its responses to pings).
//!
//! While heartbeats arrive, a follower sends no calls to the store: if every host kept watches there, the store's
//! load would grow with the number of hosts.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use admission::Forecast;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::watch;

use crate::host::{Host, Role};
use crate::message::Alive;

/// A follower checks the configuration in the store itself if it wasn't told for this long that its own is the
/// newest. The leader's watch returns every 500 ms and heartbeats arrive every 300 ms; changes by operators must be
/// in force after 2 s.
const CONFIG_CHECK_AFTER: Duration = Duration::from_millis(1100);
/// Followers read a new configuration at random times within this time multiplied by their number. A configuration of
/// about 50 KB then uses half of a 1 Gbit/s link, which the leader's log needs as well.
const CONFIG_READ_DELAY_PER_FOLLOWER: Duration = Duration::from_millis(1);

/// A forecast of a leader that is gone says nothing of the load after this time, which is several times as long as a
/// takeover takes.
const FORECAST_VALIDITY: Duration = Duration::from_secs(10);

/// State learnt from heartbeats.
pub(crate) struct Heartbeats {
    /// When the followed leader was last certain to be the leader; `None` once it says that it isn't.
    leader_confirmed: watch::Sender<Option<Duration>>,
    /// The configuration has this version or a newer one, as far as other hosts have told.
    config_version: watch::Sender<u64>,
    /// The largest number of hosts known to have followed a leader.
    followers: AtomicU32,
    /// The last forecast of a leader, which may be this host, and when it was made or received.
    forecast: Mutex<Option<(Duration, Forecast)>>,
}

impl Heartbeats {
    pub(crate) fn new() -> Heartbeats {
        Heartbeats {
            leader_confirmed: watch::Sender::new(None),
            config_version: watch::Sender::new(0),
            followers: AtomicU32::new(0),
            forecast: Mutex::new(None),
        }
    }

    /// Records the response to a ping that was sent at `sent`.
    pub(crate) fn record(&self, alive: &Alive, sent: Duration) {
        self.leader_confirmed.send_replace(alive.unconfirmed_for.map(|age| sent.saturating_sub(age)));
        self.note_followers(alive.followers);
        self.note_config_version(alive.config);
        if let Some(forecast) = &alive.forecast {
            self.note_forecast(sent, forecast.clone());
        }
    }

    /// Records a forecast of the leader.
    pub(crate) fn note_forecast(&self, at: Duration, forecast: Forecast) {
        *self.forecast.lock() = Some((at, forecast));
    }

    /// The last forecast.
    pub(crate) fn forecast(&self) -> Option<Forecast> {
        self.forecast.lock().as_ref().map(|(_, forecast)| forecast.clone())
    }

    /// When a job of this queue should come back, and the age of the forecast that says so; `None` if jobs aren't
    /// refused, or nothing recent is known.
    pub(crate) fn retry_after(&self, now: Duration, queue: &str) -> Option<(Duration, Duration)> {
        let forecast = self.forecast.lock();
        let (at, forecast) = forecast.as_ref()?;
        let age = now.saturating_sub(*at);
        forecast.retry_after(queue).filter(|_| age <= FORECAST_VALIDITY).map(|after| (after, age))
    }

    /// Records that the configuration has this version or a newer one.
    pub(crate) fn note_config_version(&self, version: u64) {
        self.config_version.send_if_modified(|known| {
            let newer = version > *known;
            *known = version.max(*known);
            newer
        });
    }

    /// Whether a configuration newer than this version is known to exist.
    pub(crate) fn is_config_outdated(&self, version: u64) -> bool {
        *self.config_version.borrow() > version
    }

    /// Records the number of followers and returns the largest one known. A new leader has few followers at first, so
    /// the maximum counts.
    pub(crate) fn note_followers(&self, followers: u32) -> u32 {
        self.followers.fetch_max(followers, Ordering::Relaxed).max(followers)
    }

    /// How long a host that isn't the leader waits before it reads a new configuration.
    pub(crate) fn config_read_delay(&self) -> Duration {
        let over = CONFIG_READ_DELAY_PER_FOLLOWER * self.followers.load(Ordering::Relaxed);
        rand::rng().random_range(Duration::ZERO..=over)
    }
}

/// For how long the store needn't be asked for the leader: until the lease of the followed leader may have expired.
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

/// Waits while the leader's heartbeats confirm its leadership.
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

/// Waits while the leader's heartbeats confirm that this host's configuration is the newest. Returns whether there is
/// a newer one.
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
        // Wakes up for a newer version, or when the confirmation is too old unless it was renewed.
        let _ = tokio::time::timeout(remaining, config_versions.changed()).await;
    }
}
