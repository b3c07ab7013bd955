//! Follows the configuration: in the store, and through the leader where the store turns this host or the leader away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use events::emit;
use work::Queue;
use work::key::{Credential, Denial};

use crate::access::{self, Client, Refusal};
use crate::heartbeat;
use crate::host::{Host, Link, Role};
use crate::message::{Answer, Call};
use crate::outage::Outage;
use crate::services::WatchResult;

/// A watch that brought nothing is renewed after this time: only its answer shows that nothing has changed.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// That of the leader, which tells all others.
const LEADER_WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a host may take over a configuration that is passed on, also a large one over a slow link.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Nobody is refused for a key or a path that this host doesn't know unless its configuration was known as the newest so lately.
/// Watches are renewed every 1.5 s, and operators' changes are to be in force after 2 s.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(1800);
/// How long such a call waits for that: the store answers watches, and the leader signs of life, more often.
const MAX_CONFIG_WAIT: Duration = Duration::from_millis(700);

/// What became of a call at the host where it arrived.
#[derive(Clone, Debug)]
pub enum Admission {
    /// It may go on.
    Granted(Box<Queue>, Client),
    /// It may not, by a configuration that is recent.
    Refused(Refusal),
    /// This host can't know.
    Unsure,
}

/// Reads the configuration whenever it may have changed.
pub(crate) async fn run(host: Arc<Host>) {
    let mut outage = Outage::new("configuration");
    loop {
        let sent = host.started.elapsed();
        let (config, mut revision) = match host.services.directory.config().await {
            Ok(found) => found,
            Err(error) => {
                outage.failed(&host.log, &error);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        outage.succeeded(&host.log);
        if let Some(config) = config {
            host.update_config(config, "store");
        }
        host.confirm_config(sent);
        while let Some(seen) = wait_for_change(&host, revision).await {
            revision = seen;
        }
    }
}

/// Waits for a change. The revision to go on from when there was none; `None` when the configuration is to be read.
async fn wait_for_change(host: &Host, revision: u64) -> Option<u64> {
    if heartbeat::wait_for_newer_config(host).await {
        return None;
    }
    let leads = matches!(host.role(), Role::Leading(_));
    let wait = if leads { LEADER_WATCH_TIMEOUT } else { WATCH_TIMEOUT };
    match host.services.directory.watch_config(revision, wait).await {
        Ok(WatchResult::Unchanged(seen)) => {
            host.confirm_config(host.started.elapsed());
            Some(seen)
        }
        Ok(WatchResult::Changed) => {
            // The leader tells the others, and judges by it.
            if !leads {
                tokio::time::sleep(host.heartbeats.config_read_delay()).await;
            }
            None
        }
        Err(_) => {
            tokio::time::sleep(RETRY_DELAY).await;
            None
        }
    }
}

/// Compares the configuration with the leader's, as its sign of life tells it, and passes on the newer one. A host that is behind
/// for the first time may be about to read it in the store.
pub(crate) async fn exchange_config(
    host: &Host,
    link: &Link,
    version: u64,
    age: Duration,
    sent: Duration,
    again: bool,
) {
    let own = host.config().version;
    if version <= own {
        host.confirm_config(sent.saturating_sub(age));
    }
    if version == own || !again {
        return;
    }
    let call = if version > own { Call::FetchConfig } else { Call::Config((*host.config()).clone()) };
    match link.call(call, EXCHANGE_TIMEOUT).await {
        Ok(Answer::Config(config)) => {
            host.update_config(config, "host");
        }
        Ok(_) => {}
        Err(error) => emit!(host.log, events::CONFIG_NOT_PASSED, "own" => own, "leader" => version,
            "fault" => error.to_string()),
    }
}

/// Finds the queue and the workspace of a call that arrives. Where this host's configuration doesn't know them, it must be recent:
/// else the call waits for a sign that it is. It costs the store and the leader nothing, however many such calls come.
pub(crate) async fn admit(host: &Host, name: &str, path: &str, key: Credential, until: Instant) -> Admission {
    let until = until.min(Instant::now() + MAX_CONFIG_WAIT);
    let mut known = host.subscribe_config_confirmed();
    loop {
        known.mark_unchanged();
        let config = host.config();
        if config.version == 0 {
            return Admission::Unsure;
        }
        let refusal = match access::admit(&config, name, path, key) {
            Ok((queue, client)) => return Admission::Granted(Box::new(queue.clone()), client),
            Err(refusal) => refusal,
        };
        let age = host.config_age();
        let certain = matches!(refusal, Refusal::Denied(Denial::Missing | Denial::Malformed));
        let remaining = until.saturating_duration_since(Instant::now());
        if certain || age < MAX_CONFIG_AGE || remaining.is_zero() {
            let sure = certain || age < MAX_CONFIG_AGE;
            emit!(host.log, events::CALL_NOT_ADMITTED, "path" => path, "why" => refusal.to_string(), "sure" => sure,
                "config" => config.version, "config_age_ms" => age.as_millis() as u64);
            return if sure { Admission::Refused(refusal) } else { Admission::Unsure };
        }
        // Either wakes the loop: the configuration is known anew, or time is over.
        let _ = tokio::time::timeout(remaining, known.changed()).await;
    }
}
