//! Keeps the configuration up to date: from the store, and through the leader where the store refuses this host or
//! the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use events::emit;
use futures_util::stream::{FuturesUnordered, StreamExt};
use work::key::{Credential, Denial};
use work::{Config, Queue};

use crate::access::{self, Client, Refusal};
use crate::heartbeat;
use crate::host::{Host, Link, Role};
use crate::message::{Answer, Call};
use crate::outage::Outage;
use crate::services::{ServiceError, WatchResult};

/// Watches are renewed after this time: only the response to a watch shows that nothing has changed.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Watch timeout of the leader, which informs all other hosts.
const LEADER_WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// A new leader doesn't wait longer than this for the configuration: without a leader, no call is answered at all.
const LEADER_READ_TIMEOUT: Duration = Duration::from_millis(600);
/// A read of the configuration is sent again if it isn't answered within this time. Longer than a slow store takes.
const FIRST_READ_REPEAT: Duration = Duration::from_millis(600);
/// Time between the further repetitions. Shorter than the 2 s within which changes must be in force.
const LATER_READ_REPEAT: Duration = Duration::from_millis(1200);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a host may take to answer while a configuration is transferred; long enough for a large one over a slow
/// link.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// A call with an unknown key or path is only refused if the configuration was known to be the newest this recently.
/// Watches are renewed every 1.5 s, and changes by operators must be in force after 2 s.
pub(crate) const MAX_CONFIG_AGE: Duration = Duration::from_millis(1800);

/// Result of checking a call on the host where it arrived.
#[derive(Clone, Debug)]
pub enum Admission {
    /// The call is admitted.
    Granted(Box<Queue>, Client),
    /// The call is refused, according to a recent configuration.
    Refused(Refusal),
    /// This host can't decide, since its configuration may be outdated.
    Unsure,
}

impl Admission {
    /// Name in logs and metrics.
    fn name(&self) -> &'static str {
        match self {
            Admission::Granted(..) => "granted",
            Admission::Refused(_) => "refused",
            Admission::Unsure => "unsure",
        }
    }
}

/// Reads the configuration whenever it may have changed.
pub(crate) async fn run(host: Arc<Host>) {
    let mut outage = Outage::new("configuration");
    let mut watch_outage = Outage::new("watch of the configuration");
    loop {
        let ConfigRead { config, mut revision, sent } = match read(&host).await {
            Ok(found) => found,
            Err(error) => {
                outage.failed(&host.log, &error);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        outage.succeeded(&host.log);
        apply_read(&host, config, sent);
        while let Some(seen) = wait_for_change(&host, revision, &mut watch_outage).await {
            revision = seen;
        }
    }
}

/// Result of a read of the configuration.
struct ConfigRead {
    config: Option<Config>,
    /// Revision of the store at the time of the read.
    revision: u64,
    /// When the read was sent, on the monotonic clock.
    sent: Duration,
}

async fn read_once(host: &Host) -> Result<ConfigRead, ServiceError> {
    let sent = host.started.elapsed();
    let (config, revision) = host.services.directory.config().await?;
    Ok(ConfigRead { config, revision, sent })
}

/// Reads the configuration, and sends the read again while it isn't answered: a read that was sent to a silent store
/// stays unanswered when the store is back. The earlier ones go on, as a large configuration may only be slow.
async fn read(host: &Host) -> Result<ConfigRead, ServiceError> {
    let mut reads = FuturesUnordered::new();
    let mut pause = FIRST_READ_REPEAT;
    loop {
        reads.push(read_once(host));
        tokio::select! {
            Some(result) = reads.next() => return result,
            () = tokio::time::sleep(pause) => pause = LATER_READ_REPEAT,
        }
    }
}

/// Applies the result of a read that was sent at `sent`.
fn apply_read(host: &Host, config: Option<Config>, sent: Duration) {
    if let Some(config) = config {
        host.update_config(config, "store");
    }
    host.confirm_config(sent);
}

/// Reads the configuration for a new leader, which must not decide by an older one than its predecessor. [`run`] may
/// still wait for the response to a call that it sent while the store was silent.
pub(crate) async fn read_for_leader(host: &Host) {
    let sent = host.started.elapsed();
    match tokio::time::timeout(LEADER_READ_TIMEOUT, host.services.directory.config()).await {
        Ok(Ok((config, _))) => apply_read(host, config, sent),
        Ok(Err(error)) => log_failed_leader_read(host, &error.to_string()),
        Err(_) => log_failed_leader_read(host, "no response in time"),
    }
}

fn log_failed_leader_read(host: &Host, fault: &str) {
    emit!(host.log, events::PLATFORM_FAILED, "call" => "configuration for a new leader", "fault" => fault,
        "config" => host.config().version, "config_age_ms" => host.config_age().as_millis() as u64);
}

/// Waits for a change. Returns the revision to continue from if nothing has changed, `None` if the configuration must
/// be read.
async fn wait_for_change(host: &Host, revision: u64, outage: &mut Outage) -> Option<u64> {
    if heartbeat::wait_for_newer_config(host).await {
        return None;
    }
    let leads = matches!(host.role(), Role::Leading(_));
    let wait = if leads { LEADER_WATCH_TIMEOUT } else { WATCH_TIMEOUT };
    let sent = host.started.elapsed();
    let result = host.services.directory.watch_config(revision, wait).await;
    match &result {
        Ok(_) => outage.succeeded(&host.log),
        Err(error) => outage.failed(&host.log, error),
    }
    match result {
        Ok(WatchResult::Unchanged(seen)) => {
            // The response may have waited for this host, which was suspended or busy.
            host.confirm_config(host.started.elapsed().min(sent + wait));
            Some(seen)
        }
        Ok(WatchResult::Changed) => {
            // The leader doesn't delay: it informs the other hosts and authorizes calls.
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

/// Compares this host's configuration with the leader's, as announced in its heartbeat. Transfers the newer one only if
/// they already differed at the previous heartbeat (`differed_before`): until then, a host that is behind may be about
/// to read it from the store.
pub(crate) async fn exchange_config(
    host: &Host,
    link: &Link,
    version: u64,
    age: Duration,
    sent: Duration,
    differed_before: bool,
) {
    let own = host.config().version;
    if version <= own {
        host.confirm_config(sent.saturating_sub(age));
    }
    if version == own || !differed_before {
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

/// Determines the queue and the workspace of an incoming call. If this host's configuration doesn't know them and
/// isn't recent, the call waits for a confirmation that it is. Such calls cause no load on the store or the leader,
/// however many there are.
pub(crate) async fn admit(host: &Host, name: &str, path: &str, key: Credential, until: Instant) -> Admission {
    let (config, config_age) = (host.config().version, host.config_age());
    let arrived = Instant::now();
    let refusal = match check(host, name, path, key) {
        Ok(admission) => return admission,
        Err(refusal) => refusal,
    };
    let wait = host.settings.max_admission_delay.min(until.saturating_duration_since(arrived));
    let admission = match tokio::time::timeout(wait, check_when_confirmed(host, name, path, key)).await {
        Ok(admission) => admission,
        Err(_) => {
            log_refusal(host, path, &refusal, false);
            Admission::Unsure
        }
    };
    emit!(host.log, events::REQUEST_DELAYED, "path" => path, "outcome" => admission.name(),
        "delayed_ms" => arrived.elapsed().as_millis() as u64, "config_at_arrival" => config,
        "config" => host.config().version, "config_age_ms" => config_age.as_millis() as u64);
    host.metrics.delayed_requests.get_or_create(&metrics::OutcomeLabels { outcome: admission.name() }).inc();
    admission
}

/// Repeats [`check`] whenever the configuration is replaced or confirmed, until the call can be decided.
async fn check_when_confirmed(host: &Host, name: &str, path: &str, key: Credential) -> Admission {
    let mut configs = host.subscribe_config();
    let mut confirmations = host.subscribe_config_confirmed();
    loop {
        if let Ok(admission) = check(host, name, path, key) {
            return admission;
        }
        // The host outlives its calls, so the senders aren't dropped.
        tokio::select! {
            _ = configs.changed() => {}
            _ = confirmations.changed() => {}
        }
    }
}

/// Checks a call by the configuration in force. An error is the refusal of a configuration that may be outdated.
fn check(host: &Host, name: &str, path: &str, key: Credential) -> Result<Admission, Refusal> {
    // Read before the configuration, which may be replaced and confirmed meanwhile.
    let age = host.config_age();
    let config = host.config();
    if config.version == 0 {
        return Ok(Admission::Unsure);
    }
    let refusal = match access::admit(&config, name, path, key) {
        Ok((queue, client)) => return Ok(Admission::Granted(Box::new(queue.clone()), client)),
        Err(refusal) => refusal,
    };
    let independent_of_config = matches!(refusal, Refusal::Denied(Denial::Missing | Denial::Malformed));
    let outdated = age >= MAX_CONFIG_AGE || host.heartbeats.is_config_outdated(config.version);
    if outdated && !independent_of_config {
        return Err(refusal);
    }
    log_refusal(host, path, &refusal, true);
    Ok(Admission::Refused(refusal))
}

fn log_refusal(host: &Host, path: &str, refusal: &Refusal, sure: bool) {
    emit!(host.log, events::CALL_NOT_ADMITTED, "path" => path, "why" => refusal.to_string(), "sure" => sure,
        "config" => host.config().version, "config_age_ms" => host.config_age().as_millis() as u64);
}
