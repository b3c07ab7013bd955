//! One entry host: what it knows of the configuration and of the leader, and how calls reach the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use events::emit;
use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::watch;
use work::key::Credential;
use work::{Config, Unit, WorkerId};

use crate::edge::{Adviser, Directory, Fault, Store, Workers};
use crate::follow::{self, Admission};
use crate::latest::Latest;
use crate::message::{Answer, Call, Leader};
use crate::reign::Reign;
use crate::signs::{self, Signs};

/// A link between entry hosts.
pub type Link = link::Link<Call, Answer>;

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Unique to this life of the process.
    pub life: u64,
    /// Where other hosts reach it.
    pub address: String,
    /// Bounds for the decisions.
    pub limits: sched::Limits,
    /// Time to live of the leader's lease in the store.
    pub lease_ttl: Duration,
    /// How much longer than others this host waits before it claims: a weak host leads only when no other does.
    pub claim_delay: Duration,
}

/// The outside of an entry host.
#[derive(Clone)]
pub struct Edges {
    /// The key-value service.
    pub store: Arc<dyn Store>,
    /// Configuration and list of workers.
    pub directory: Arc<dyn Directory>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The adviser, where there is one.
    pub adviser: Option<Arc<dyn Adviser>>,
    /// The clock by which all ages are reckoned.
    pub clock: clock::Clock,
}

/// Who leads, as far as this host knows.
#[derive(Clone)]
pub enum Role {
    /// Nobody is known to.
    Nobody,
    /// This host.
    Leading(Arc<Reign>),
    /// Another host, to which there is a link.
    Following(Leader, Arc<Link>),
}

/// One entry host.
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    /// Its outside.
    pub(crate) edges: Edges,
    /// Its log.
    pub log: Logger,
    /// Its metrics.
    pub metrics: metrics::Jobs,
    /// Zero of its steady clock.
    pub(crate) started: clock::Stopwatch,
    config: watch::Sender<Arc<Config>>,
    /// When it was last known to be the newest, on the steady clock.
    config_known: watch::Sender<Duration>,
    role: watch::Sender<Role>,
    /// Followers by name, while it leads.
    pub(crate) followers: Mutex<BTreeMap<String, Follower>>,
    /// Term of this host's latest claim that was done; its reign begins once the log is read.
    pub(crate) seated: AtomicU64,
    /// When the lease of that claim was last prolonged, until the reign does so.
    pub(crate) claim_kept: Latest,
    /// What the leader has told this host.
    pub(crate) signs: Signs,
    /// When the store last answered the loop that follows the leader's record, or that loop last began to ask.
    store_heard: Latest,
    /// Held while a claim is under way.
    pub(crate) claiming: tokio::sync::Mutex<()>,
    stopping: watch::Sender<bool>,
}

/// A follower's link.
#[derive(Clone)]
pub(crate) struct Follower {
    pub host: String,
    /// Where it takes links itself.
    pub address: String,
    /// Term of the leader that it meant when it made itself known.
    pub term: work::Term,
    /// Whether it neither led nor claimed then.
    pub idle: bool,
    pub link: Arc<Link>,
    /// How long it waits before it claims; see [`Settings::claim_delay`].
    pub claim_delay: Duration,
}

impl Follower {
    /// Whether it can be asked now.
    fn is_live(&self) -> bool {
        self.link.time_since_last_frame() < FOLLOWER_SILENCE
    }
}

/// A follower that hasn't been heard for so long isn't asked anything: it sends a sign of life every 300 ms.
const FOLLOWER_SILENCE: Duration = Duration::from_millis(1000);
/// The link of a follower that hasn't been heard for so long is closed.
const FOLLOWER_GONE: Duration = Duration::from_secs(5);
/// Pause before a call is tried again when there is no leader to take it.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// A host that knows no leader looks into the store several times in this time: without an answer for so long it won't
/// learn of a new one soon.
const STORE_SILENCE: Duration = Duration::from_millis(800);
/// The leader answers states and counts at once: after this time it is taken for gone.
const QUICK_ANSWER: Duration = Duration::from_millis(700);

impl Host {
    /// Puts a host together; nothing runs yet.
    pub fn new(settings: Settings, edges: Edges, log: Logger, metrics: metrics::Jobs) -> Arc<Host> {
        Arc::new(Host {
            started: edges.clock.start(),
            settings,
            edges,
            log,
            metrics,
            config: watch::Sender::new(Arc::new(Config::default())),
            config_known: watch::Sender::new(Duration::ZERO),
            role: watch::Sender::new(Role::Nobody),
            followers: Mutex::new(BTreeMap::new()),
            seated: AtomicU64::new(0),
            claim_kept: Latest::new(Duration::ZERO),
            signs: Signs::new(),
            store_heard: Latest::new(Duration::ZERO),
            claiming: tokio::sync::Mutex::new(()),
            stopping: watch::Sender::new(false),
        })
    }

    /// The time on this host's clocks.
    pub(crate) fn clock(&self) -> sched::Clock {
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        sched::Clock { now: self.started.elapsed(), wall }
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.borrow().clone()
    }

    /// Follows the configuration.
    pub(crate) fn configs(&self) -> watch::Receiver<Arc<Config>> {
        self.config.subscribe()
    }

    /// Takes a configuration if it is newer; from the store, or from another host.
    pub fn take_config(&self, config: Config, source: &'static str) -> bool {
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

    /// Takes note that no newer configuration than this host's was in force at this time.
    pub(crate) fn config_known(&self, at: Duration) {
        self.config_known.send_if_modified(|known| {
            let later = at > *known;
            *known = at.max(*known);
            later
        });
    }

    /// Follows the times at which the configuration is known to be the newest.
    pub(crate) fn configs_known(&self) -> watch::Receiver<Duration> {
        self.config_known.subscribe()
    }

    /// How long ago the configuration was known to be the newest.
    pub(crate) fn config_age(&self) -> Duration {
        self.started.elapsed().saturating_sub(*self.config_known.borrow())
    }

    /// Finds the queue and the workspace of a caller's call, by the host name, the path and the key that it brings.
    pub async fn admit(&self, name: &str, path: &str, key: Credential, until: Instant) -> Admission {
        follow::admit(self, name, path, key, until).await
    }

    /// Who leads.
    pub fn role(&self) -> Role {
        self.role.borrow().clone()
    }

    /// The leader that this host knows.
    pub(crate) fn leader(&self) -> Option<Leader> {
        match self.role() {
            Role::Nobody => None,
            Role::Leading(reign) => Some(reign.seat.lock().leader.clone()),
            Role::Following(leader, _) => Some(leader),
        }
    }

    /// Whether this host neither leads nor claims leadership.
    pub(crate) fn idle(&self) -> bool {
        let leads = matches!(self.role(), Role::Leading(_)) || self.seated.load(Ordering::Acquire) != 0;
        !leads && self.claiming.try_lock().is_ok()
    }

    /// A reign of this host is over: nobody is known to lead, unless that has changed already.
    pub(crate) fn left(&self, term: work::Term) {
        if matches!(self.role(), Role::Leading(reign) if reign.term == term) {
            self.set_role(Role::Nobody);
        }
    }

    pub(crate) fn set_role(&self, role: Role) {
        let term = match &role {
            Role::Leading(reign) => reign.term,
            Role::Nobody | Role::Following(..) => 0,
        };
        self.metrics.term.set(term as i64);
        match &role {
            Role::Nobody => emit!(self.log, events::LEADER_LOST),
            Role::Leading(reign) => emit!(self.log, events::LEADER_KNOWN, "leader" => &self.settings.host,
                "term" => reign.term),
            Role::Following(leader, _) => emit!(self.log, events::LEADER_KNOWN, "leader" => &leader.host,
                "term" => leader.term),
        }
        if !signs::leads_for(self).is_zero() {
            self.ask_store();
        }
        self.role.send_replace(role);
    }

    pub(crate) fn roles(&self) -> watch::Receiver<Role> {
        self.role.subscribe()
    }

    /// Takes note of the store's answer, if there is one.
    pub(crate) fn hear_store<T>(&self, outcome: &Result<T, Fault>) {
        if outcome.is_ok() {
            self.store_heard.note(self.started.elapsed());
        }
    }

    /// Takes note that the store is asked from now on: its silence counts from here.
    pub(crate) fn ask_store(&self) {
        self.store_heard.note(self.started.elapsed());
    }

    /// Whether the store has left this host without an answer for a while.
    fn store_silent(&self) -> bool {
        self.store_heard.ago(self.started.elapsed()) > STORE_SILENCE
    }

    /// Whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Begins a planned stop: gives leadership up and takes no more of it.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        if let Role::Leading(reign) = self.role() {
            reign.hand_over().await;
            self.set_role(Role::Nobody);
        }
    }

    /// Whether callers can be served: there is a configuration, and a way to the leader.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.config().version > 0 && !matches!(self.role(), Role::Nobody)
    }

    /// Followers that can be asked now. Links of those that are gone without a sign are closed.
    pub(crate) fn live_followers(&self) -> Vec<Follower> {
        let mut followers = self.followers.lock();
        followers
            .values()
            .filter(|follower| follower.link.time_since_last_frame() > FOLLOWER_GONE)
            .for_each(|gone| gone.link.close());
        followers.retain(|_, follower| !follower.link.is_closed());
        followers.values().filter(|follower| follower.is_live()).cloned().collect()
    }

    /// Ends the links of followers, since this host leads no more: they look for who does.
    pub(crate) fn release_followers(&self) {
        std::mem::take(&mut *self.followers.lock()).values().for_each(|follower| follower.link.close());
    }

    /// Asks the adviser which of `workers` may run a unit. `None` without an adviser, or without its answer.
    pub(crate) async fn advice(&self, unit: Unit, workers: &[WorkerId]) -> Option<Vec<(WorkerId, String)>> {
        let adviser = self.edges.adviser.as_ref()?;
        match adviser.advise(unit, workers).await {
            Ok(healthy) => Some(healthy),
            Err(fault) => {
                emit!(self.log, events::ADVICE_FAILED, "unit" => unit.to_string(), "fault" => fault.to_string());
                None
            }
        }
    }

    /// Asks the leader, whoever that is, until `until`. Asks again when the leader changes: all calls may be
    /// repeated. Without a leader it waits for the next one only while the store answers this host.
    pub async fn ask(&self, call: Call, until: Instant) -> Answer {
        let mut sent = false;
        let mut roles = self.roles();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let role = roles.borrow_and_update().clone();
            let hopeless = matches!(role, Role::Nobody) && self.store_silent();
            if left.is_zero() || hopeless {
                return if sent { Answer::Unknown } else { Answer::NotLeader };
            }
            let in_doubt = sent;
            let answer = match role {
                Role::Nobody => None,
                Role::Leading(reign) => Some(reign.answer(call.clone()).await),
                Role::Following(_, link) => {
                    let outcome = link.call(call.clone(), left.min(patience(&call))).await;
                    sent |= outcome != Err(link::CallError::NotSent);
                    outcome.ok()
                }
            };
            match answer {
                None | Some(Answer::NotLeader) => {}
                // A leader that was replaced can't tell; the next one can.
                Some(Answer::Unknown) => sent = true,
                // It judges the key as it is now, before it looks for the job, which an earlier leader may have taken.
                Some(Answer::NotAdmitted(_)) if in_doubt && matches!(call, Call::Submit { .. }) => {
                    return Answer::Unknown;
                }
                Some(answer) => return answer,
            }
            let left = until.saturating_duration_since(Instant::now());
            // Either wakes the loop: a new leader, or time to try again.
            let _ = tokio::time::timeout(RETRY_PAUSE.min(left), roles.changed()).await;
        }
    }
}

/// How long an answer of the leader may take.
fn patience(call: &Call) -> Duration {
    match call {
        Call::Submit { wait, .. } | Call::Cancel { wait, .. } => *wait + QUICK_ANSWER,
        _ => QUICK_ANSWER,
    }
}
