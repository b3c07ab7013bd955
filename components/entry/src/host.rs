//! An entry host: its view of the configuration and of the leader, and the forwarding of calls to the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use events::emit;
use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::{Notify, watch};
use work::key::Credential;
use work::{Config, Unit, WorkerId};

use crate::config::{self, Admission};
use crate::heartbeat::{self, Heartbeats};
use crate::isolation::Isolation;
use crate::latest::LatestTime;
use crate::leaderless::{InDoubt, is_outcome};
use crate::leadership::Leadership;
use crate::message::{Answer, Call, Leader};
use crate::services::{Adviser, Directory, ServiceError, Store, Workers};

pub type Link = link::Link<Call, Answer>;

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Unique id of this process.
    pub incarnation: u64,
    /// Address at which other hosts reach this one.
    pub address: String,
    /// Limits for scheduling decisions.
    pub limits: sched::Limits,
    /// Time to live of the leader's lease in the store.
    pub lease_ttl: Duration,
    /// Maximum size of a value in the store, in bytes.
    pub max_value: usize,
    /// How long a call may wait for a confirmed configuration. Calls that arrive meanwhile may be decided by the
    /// configuration in force, so a longer wait would let this host go back to an older one for its callers.
    pub max_admission_delay: Duration,
    /// Additional delay before this host claims leadership, so that a weak host leads only when no other does.
    pub claim_delay: Duration,
    /// Memory for accepted jobs and the log, in bytes; see [`crate::Memory`].
    pub job_memory: usize,
    /// Whether measures against overload are in effect: admission control, and shares of workspaces.
    pub overload_protection: bool,
}

/// Services that an entry host depends on.
#[derive(Clone)]
pub struct Services {
    pub store: Arc<dyn Store>,
    /// Source of the configuration and the list of workers.
    pub directory: Arc<dyn Directory>,
    pub workers: Arc<dyn Workers>,
    /// The advice service, if there is one.
    pub adviser: Option<Arc<dyn Adviser>>,
    /// Clock from which all ages are computed.
    pub clock: clock::Clock,
}

/// Who leads, as far as this host knows.
#[derive(Clone)]
pub enum Role {
    /// No leader is known.
    NoLeader,
    /// This host leads.
    Leading(Arc<Leadership>),
    /// Another host leads, and there is a link to it.
    Following(Leader, Arc<Link>),
}

pub struct Host {
    pub settings: Settings,
    pub(crate) services: Services,
    pub log: Logger,
    pub metrics: metrics::JobMetrics,
    /// Start of its monotonic clock.
    pub(crate) started: clock::Stopwatch,
    config: watch::Sender<Arc<Config>>,
    /// When the configuration was last known to be the newest, on the monotonic clock.
    config_confirmed_at: watch::Sender<Duration>,
    role: watch::Sender<Role>,
    /// Followers by name, while this host leads.
    pub(crate) followers: Mutex<BTreeMap<String, Follower>>,
    /// Term of this host's latest successful claim, 0 for none; its leadership begins once the log is read.
    pub(crate) claimed_term: AtomicU64,
    /// When the lease of that claim was last renewed, until the leadership renews it.
    pub(crate) claim_renewed_at: LatestTime,
    /// Wakes the watch of the leader's record when another task finds that the record has changed.
    pub(crate) record_changed: Notify,
    /// State learnt from the leader's heartbeats.
    pub(crate) heartbeats: Heartbeats,
    /// Whether the leader, as far as this host knows it, is cut off from most hosts and the store.
    pub(crate) isolation: Isolation,
    /// Jobs whose submission this host has passed on without learning the outcome, with overload protection.
    pub(crate) in_doubt: InDoubt,
    /// When the store last answered the loop that follows the leader's record, or when that loop last began to ask
    /// it.
    store_answered_at: LatestTime,
    /// Held while a claim is in progress.
    pub(crate) claim_lock: tokio::sync::Mutex<()>,
    stopping: watch::Sender<bool>,
}

/// A registered follower.
#[derive(Clone)]
pub(crate) struct Follower {
    pub host: String,
    /// Address on which it accepts links.
    pub address: String,
    /// Term of the leader that it named when it registered.
    pub term: work::Term,
    /// Whether it neither led nor claimed at that time.
    pub idle: bool,
    pub link: Arc<Link>,
    /// How long it waits before it claims; see [`Settings::claim_delay`].
    pub claim_delay: Duration,
    /// Its memory for accepted jobs, in bytes; `None` if it doesn't tell.
    pub job_memory: Option<usize>,
}

impl Follower {
    /// Whether it can be called now.
    fn is_live(&self) -> bool {
        self.link.time_since_last_frame() < MAX_FOLLOWER_SILENCE
    }
}

/// Followers that were silent for this long aren't called; a live follower sends a ping every 300 ms.
const MAX_FOLLOWER_SILENCE: Duration = Duration::from_millis(1000);
/// The link of a follower that was silent for this long is closed.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a planned stop waits until a claim is given up.
const CLAIM_RELEASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a call is retried when there is no leader to handle it.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// A host without a leader reads from the store several times within this time. If the store was silent for this
/// long, the host won't learn of a new leader soon.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// The leader answers reads at once; if it doesn't answer within this time, it is considered gone.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

impl Host {
    /// Creates a host without starting its background tasks; see [`crate::spawn`].
    pub fn new(settings: Settings, services: Services, log: Logger, metrics: metrics::JobMetrics) -> Arc<Host> {
        Arc::new(Host {
            started: services.clock.start(),
            settings,
            services,
            log,
            metrics,
            config: watch::Sender::new(Arc::new(Config::default())),
            config_confirmed_at: watch::Sender::new(Duration::ZERO),
            role: watch::Sender::new(Role::NoLeader),
            followers: Mutex::new(BTreeMap::new()),
            claimed_term: AtomicU64::new(0),
            claim_renewed_at: LatestTime::new(Duration::ZERO),
            record_changed: Notify::new(),
            heartbeats: Heartbeats::new(),
            isolation: Isolation::default(),
            in_doubt: InDoubt::default(),
            store_answered_at: LatestTime::new(Duration::ZERO),
            claim_lock: tokio::sync::Mutex::new(()),
            stopping: watch::Sender::new(false),
        })
    }

    /// Current monotonic and wall-clock time.
    pub(crate) fn clock(&self) -> sched::Clock {
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        sched::Clock { now: self.started.elapsed(), wall }
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Subscribes to changes of the configuration.
    pub(crate) fn subscribe_config(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Replaces the configuration if `config` is newer. Returns whether it was. `source` says where it came from: the
    /// store or another host.
    pub fn update_config(&self, config: Config, source: &'static str) -> bool {
        let version = config.version;
        let queues = config.queues.len();
        let newer = self.config.send_if_modified(|current| {
            if version <= current.version {
                return false;
            }
            *current = Arc::new(config);
            true
        });
        if newer {
            self.metrics.config_version.set(version as i64);
            emit!(self.log, events::CONFIG_IN_FORCE, "version" => version, "queues" => queues, "source" => source);
        }
        newer
    }

    /// Records that no newer configuration than this host's was in force at this time.
    pub(crate) fn confirm_config(&self, at: Duration) {
        let age = self.config_age();
        let mut first = false;
        let later = self.config_confirmed_at.send_if_modified(|known| {
            let later = at > *known;
            first = known.is_zero();
            *known = at.max(*known);
            later
        });
        if later && !first && age >= config::MAX_CONFIG_AGE {
            emit!(self.log, events::CONFIG_CONFIRMED, "version" => self.config().version,
                "config_age_ms" => age.as_millis() as u64);
        }
    }

    /// Subscribes to the times at which the configuration was known to be the newest.
    pub(crate) fn subscribe_config_confirmed(&self) -> watch::Receiver<Duration> {
        self.config_confirmed_at.subscribe()
    }

    /// Time since the configuration was last known to be the newest.
    pub(crate) fn config_age(&self) -> Duration {
        self.started.elapsed().saturating_sub(*self.config_confirmed_at.borrow())
    }

    /// Determines the queue and the workspace of a caller's call from its host name, path and credential.
    pub async fn admit(&self, name: &str, path: &str, key: Credential, until: Instant) -> Admission {
        config::admit(self, name, path, key, until).await
    }

    /// Who leads, as far as this host knows.
    pub fn role(&self) -> Role {
        self.role.borrow().clone()
    }

    /// The leader, if this host knows one.
    pub(crate) fn leader(&self) -> Option<Leader> {
        match self.role() {
            Role::NoLeader => None,
            Role::Leading(leadership) => Some(leadership.claim.lock().leader.clone()),
            Role::Following(leader, _) => Some(leader),
        }
    }

    /// Whether this host neither leads nor claims leadership.
    pub(crate) fn idle(&self) -> bool {
        let leads = matches!(self.role(), Role::Leading(_)) || self.claimed_term.load(Ordering::Acquire) != 0;
        !leads && self.claim_lock.try_lock().is_ok()
    }

    /// Records that this host's leadership of `term` has ended: no leader is known, unless the role has changed
    /// already.
    pub(crate) fn leadership_ended(&self, term: work::Term) {
        if matches!(self.role(), Role::Leading(leadership) if leadership.term == term) {
            self.set_role(Role::NoLeader);
        }
    }

    pub(crate) fn set_role(&self, role: Role) {
        let term = match &role {
            Role::Leading(leadership) => leadership.term,
            Role::NoLeader | Role::Following(..) => 0,
        };
        self.metrics.leader_term.set(term as i64);
        match &role {
            Role::NoLeader => emit!(self.log, events::LEADER_LOST),
            Role::Leading(leadership) => emit!(self.log, events::LEADER_KNOWN, "leader" => &self.settings.host,
                "term" => leadership.term),
            Role::Following(leader, _) => emit!(self.log, events::LEADER_KNOWN, "leader" => &leader.host,
                "term" => leader.term),
        }
        if !heartbeat::leader_confirmed_for(self).is_zero() {
            self.reset_store_silence();
        }
        // What was known of the former leader says nothing of the next one.
        self.isolation.set(self, false);
        self.role.send_replace(role);
    }

    pub(crate) fn subscribe_role(&self) -> watch::Receiver<Role> {
        self.role.subscribe()
    }

    /// Records that the store answered, if it did.
    pub(crate) fn note_store_answer<T>(&self, outcome: &Result<T, ServiceError>) {
        if outcome.is_ok() {
            self.store_answered_at.advance(self.started.elapsed());
        }
    }

    /// Restarts the measurement of the store's silence when this host begins to ask it.
    pub(crate) fn reset_store_silence(&self) {
        self.store_answered_at.advance(self.started.elapsed());
    }

    /// Whether the store hasn't answered this host for a while.
    fn store_silent(&self) -> bool {
        self.store_answered_at.age(self.started.elapsed()) > STORE_TIMEOUT
    }

    /// Whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until a planned stop has begun.
    pub(crate) async fn wait_for_stop(&self) {
        // Fails only once the sender is dropped, which this host owns.
        let _ = self.stopping.subscribe().wait_for(|stopping| *stopping).await;
    }

    /// Begins a planned stop: hands leadership over, or gives up a claim, and doesn't claim again.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        // A claim that is given up holds the lock until its record is deleted.
        let _ = tokio::time::timeout(CLAIM_RELEASE_TIMEOUT, self.claim_lock.lock()).await;
        if let Role::Leading(leadership) = self.role() {
            leadership.hand_over().await;
            self.set_role(Role::NoLeader);
        }
    }

    /// Whether calls can be handled: there is a configuration and a known leader, which isn't cut off from most hosts.
    pub fn ready(&self) -> bool {
        let led = !matches!(self.role(), Role::NoLeader) && !self.isolation.get();
        !self.stopping() && self.config().version > 0 && led
    }

    /// Memory for accepted jobs and the log, in bytes: the least of this host and its followers, since any of them may
    /// be the next leader, which reads all of them from the log.
    pub(crate) fn job_memory_limit(&self) -> usize {
        let followers = self.followers.lock();
        let least = followers.values().filter_map(|follower| follower.job_memory).min();
        self.settings.job_memory.min(least.unwrap_or(usize::MAX))
    }

    /// Followers that can be called now. Closes the links of followers that are gone.
    pub(crate) fn live_followers(&self) -> Vec<Follower> {
        let mut followers = self.followers.lock();
        followers
            .values()
            .filter(|follower| follower.link.time_since_last_frame() > FOLLOWER_TIMEOUT)
            .for_each(|gone| gone.link.close());
        followers.retain(|_, follower| !follower.link.is_closed());
        followers.values().filter(|follower| follower.is_live()).cloned().collect()
    }

    /// Closes the links of all followers because this host no longer leads, so that they look for the new leader.
    pub(crate) fn disconnect_followers(&self) {
        std::mem::take(&mut *self.followers.lock()).values().for_each(|follower| follower.link.close());
    }

    /// Asks the advice service which of `workers` may run a unit. `None` without an advice service, or if it
    /// doesn't answer.
    pub(crate) async fn advice(&self, unit: Unit, workers: &[WorkerId]) -> Option<Vec<(WorkerId, String)>> {
        let adviser = self.services.adviser.as_ref()?;
        match adviser.advise(unit, workers).await {
            Ok(healthy) => Some(healthy),
            Err(error) => {
                emit!(self.log, events::ADVICE_FAILED, "unit" => unit.to_string(), "fault" => error.to_string());
                None
            }
        }
    }

    /// Sends a call to the current leader, with retries until `until`. The call is sent again when the leader
    /// changes, since all calls are idempotent. Without a leader, it waits for the next one only while the store
    /// answers this host.
    pub async fn ask(&self, call: Call, until: Instant) -> Answer {
        let mut sent = false;
        let mut roles = self.subscribe_role();
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            let role = roles.borrow_and_update().clone();
            let leaderless = matches!(role, Role::NoLeader);
            if leaderless
                && !sent
                && let Some(refusal) = self.refuse_without_leader(&call)
            {
                return refusal;
            }
            let unreachable = leaderless && self.store_silent();
            if remaining.is_zero() || unreachable {
                return if sent || self.is_in_doubt(&call) { Answer::Unknown } else { Answer::NotLeader };
            }
            let in_doubt = sent;
            let newly_in_doubt = !leaderless && self.mark_in_doubt(&call);
            let answer = match role {
                Role::NoLeader => None,
                Role::Leading(leadership) => Some(leadership.answer(call.clone()).await),
                Role::Following(_, link) => {
                    let outcome = link.call(call.clone(), remaining.min(answer_timeout(&call))).await;
                    sent |= outcome != Err(link::CallError::NotSent);
                    outcome.ok()
                }
            };
            if let (Some(Answer::NotAdmitted(_)), Some(version)) = (&answer, call.admitted_by()) {
                // Only a newer configuration denies what this host has admitted.
                self.heartbeats.note_config_version(version + 1);
            }
            if newly_in_doubt && !sent && matches!(answer, None | Some(Answer::NotLeader)) {
                self.clear_doubt(&call);
            }
            match answer {
                None | Some(Answer::NotLeader) => {}
                // A leader that was replaced doesn't know the outcome; the next one does.
                Some(Answer::Unknown) => sent = true,
                // The leader checks the current key before it looks for the job, which an earlier leader may have
                // accepted.
                Some(Answer::NotAdmitted(_)) if in_doubt && matches!(call, Call::Submit { .. }) => {
                    return Answer::Unknown;
                }
                Some(answer) => {
                    if is_outcome(&answer) {
                        self.clear_doubt(&call);
                    }
                    return answer;
                }
            }
            let remaining = until.saturating_duration_since(Instant::now());
            // Wakes up when the leader changes, or when it is time to retry.
            let _ = tokio::time::timeout(RETRY_DELAY.min(remaining), roles.changed()).await;
        }
    }
}

/// How long the leader may take to answer a call.
fn answer_timeout(call: &Call) -> Duration {
    match call {
        Call::Submit { wait, .. } | Call::Cancel { wait, .. } => *wait + LEADER_TIMEOUT,
        _ => LEADER_TIMEOUT,
    }
}
