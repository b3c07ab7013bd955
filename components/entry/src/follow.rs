//! Follows the configuration: in the store, and through the leader where the store turns this host or the leader away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use events::emit;
use work::Queue;
use work::key::{Denial, Presented};

use crate::access::{self, Client, Refusal};
use crate::edge::WatchResult;
use crate::host::{Host, Link, Role};
use crate::message::{Answer, Call};
use crate::outage::Outage;
use crate::signs;

/// A watch that brought nothing is renewed after this time: only its answer shows that nothing has changed.
pub(crate) const WATCH: Duration = Duration::from_millis(1500);
/// That of the leader, which tells all others.
const LEADERS_WATCH: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(100);
/// How long a host may take over a configuration that is passed on, also a large one over a slow link.
const PASS_ON: Duration = Duration::from_millis(800);
/// Nobody is refused for a key or a path that this host doesn't know unless its configuration was known as the newest so lately.
/// Watches are renewed every 1.5 s, and operators' changes are to be in force after 2 s.
const RECENT: Duration = Duration::from_millis(1800);
/// How long such a call waits for that: the store answers watches, and the leader signs of life, more often.
const LONGEST_LOOK: Duration = Duration::from_millis(700);

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
pub(crate) async fn config(host: Arc<Host>) {
    let mut outage = Outage::new("configuration");
    loop {
        let sent = host.started.elapsed();
        let (config, mut revision) = match host.services.directory.config().await {
            Ok(found) => found,
            Err(fault) => {
                outage.failed(&host.log, &fault);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        outage.succeeded(&host.log);
        if let Some(config) = config {
            host.take_config(config, "store");
        }
        host.config_known(sent);
        while let Some(seen) = unchanged(&host, revision).await {
            revision = seen;
        }
    }
}

/// Waits for a change. The revision to go on from when there was none; `None` when the configuration is to be read.
async fn unchanged(host: &Host, revision: u64) -> Option<u64> {
    if signs::newer_config(host).await {
        return None;
    }
    let leads = matches!(host.role(), Role::Leading(_));
    let wait = if leads { LEADERS_WATCH } else { WATCH };
    match host.services.directory.watch_config(revision, wait).await {
        Ok(WatchResult::Unchanged(seen)) => {
            host.config_known(host.started.elapsed());
            Some(seen)
        }
        Ok(WatchResult::Changed) => {
            // The leader tells the others, and judges by it.
            if !leads {
                tokio::time::sleep(host.signs.read_pause()).await;
            }
            None
        }
        Err(_) => {
            tokio::time::sleep(PAUSE).await;
            None
        }
    }
}

/// Compares the configuration with the leader's, as its sign of life tells it, and passes on the newer one. A host that is behind
/// for the first time may be about to read it in the store.
pub(crate) async fn compare(host: &Host, link: &Link, version: u64, age: Duration, sent: Duration, again: bool) {
    let own = host.config().version;
    if version <= own {
        host.config_known(sent.saturating_sub(age));
    }
    if version == own || !again {
        return;
    }
    let call = if version > own { Call::FetchConfig } else { Call::Config((*host.config()).clone()) };
    match link.call(call, PASS_ON).await {
        Ok(Answer::Config(config)) => {
            host.take_config(config, "host");
        }
        Ok(_) => {}
        Err(fault) => emit!(host.log, events::CONFIG_NOT_PASSED, "own" => own, "leader" => version,
            "fault" => fault.to_string()),
    }
}

/// Finds the queue and the workspace of a call that arrives. Where this host's configuration doesn't know them, it must be recent:
/// else the call waits for a sign that it is. It costs the store and the leader nothing, however many such calls come.
pub(crate) async fn admit(host: &Host, name: &str, path: &str, key: Presented, until: Instant) -> Admission {
    let until = until.min(Instant::now() + LONGEST_LOOK);
    let mut known = host.configs_known();
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
        let left = until.saturating_duration_since(Instant::now());
        if certain || age < RECENT || left.is_zero() {
            let sure = certain || age < RECENT;
            emit!(host.log, events::CALL_NOT_ADMITTED, "path" => path, "why" => refusal.to_string(), "sure" => sure,
                "config" => config.version, "config_age_ms" => age.as_millis() as u64);
            return if sure { Admission::Refused(refusal) } else { Admission::Unsure };
        }
        // Either wakes the loop: the configuration is known anew, or time is over.
        let _ = tokio::time::timeout(left, known.changed()).await;
    }
}
