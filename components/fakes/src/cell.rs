//! In-memory fakes of the services that entry hosts depend on: a store with leases, workers and an adviser. Faults
//! can be injected: the store can be unavailable to single hosts, answer late, lose answers and drop transactions.

mod calls;
mod suspension;
mod tampering;
mod workers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use entry::{CommitOutcome, KeyValue, LeaseId, Read, ServiceError, Services, Settings, Transaction, WatchResult};
use parking_lot::Mutex;
use sched::{Limits, RunOutcome, WorkerInfo};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use work::{Attempt, Config, Task, Unit, WorkerId, WorkerIncarnation};

use crate::runner::Runner;
use calls::{Calls, CommitInProgress, UnansweredCommit};

/// How long calls wait for a confirmed configuration.
const MAX_ADMISSION_DELAY: Duration = Duration::from_millis(125);

/// Maximum size of a value in the store, as on the platform.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Duration and outcome of the runs that fake workers simulate.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedRun {
    pub duration: Duration,
    pub outcome: RunOutcome,
}

/// A value in the store, with the revision that last wrote it.
struct StoredValue {
    value: Vec<u8>,
    revision: u64,
    /// 0 if no lease is attached.
    lease: LeaseId,
}

struct Lease {
    ends_at: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: LeaseId,
    unavailable_hosts: BTreeSet<String>,
    answers_to_lose: usize,
    commits_to_drop: usize,
    panic_on_worker_list: bool,
    abandoned_commits: usize,
    /// Start orders in progress, by worker.
    starts_in_progress: BTreeMap<WorkerId, usize>,
    max_concurrent_starts: usize,
    commits: usize,
    commits_sent: usize,
    /// Transactions that have not been answered yet.
    commits_in_progress: usize,
    /// The highest value that `commits_in_progress` has had.
    max_concurrent_commits: usize,
    config: Option<Config>,
    /// Reads and watches of the configuration.
    config_calls: usize,
    /// Hosts whose reads and watches of the configuration are never answered.
    silent_config_hosts: BTreeSet<String>,
    /// Whether watches are never answered.
    silent_watches: bool,
    /// Hosts whose reads by prefix are never answered.
    silent_range_hosts: BTreeSet<String>,
    /// Calls of each host to the store. A watch adds a call each time it checks for a change.
    store_calls: BTreeMap<String, usize>,
    /// Delay of the store's answers to a host's reads of single keys and lease renewals.
    answer_delays: BTreeMap<String, Duration>,
    /// Workers by name.
    workers: BTreeMap<String, Runner>,
    starts: Vec<(WorkerId, Task, Attempt)>,
    calls: Calls,
}

/// The fake services shared by all hosts of a test.
pub struct Cell {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    started_at: Instant,
    /// Total time for which the machine of each host was suspended.
    suspensions: Mutex<BTreeMap<String, Duration>>,
    simulated_run: Mutex<SimulatedRun>,
    range_delay: Mutex<Duration>,
    start_delay: Mutex<Duration>,
    commit_delay: Mutex<Duration>,
    /// Maximum size of a value; the store rejects transactions with larger ones.
    max_value: Mutex<usize>,
    /// Whether hosts that start from now on refuse jobs that can't end in time.
    overload_protection: Mutex<bool>,
}

/// One host's connection to the fake services.
struct HostView {
    cell: Arc<Cell>,
    host: String,
}

impl Cell {
    /// Creates a cell without workers. Runs succeed at once.
    pub fn new(config: Config) -> Arc<Cell> {
        let state = State { config: Some(config), ..State::default() };
        Arc::new(Cell {
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            started_at: Instant::now(),
            suspensions: Mutex::new(BTreeMap::new()),
            simulated_run: Mutex::new(SimulatedRun { duration: Duration::ZERO, outcome: RunOutcome::Done }),
            range_delay: Mutex::new(Duration::ZERO),
            start_delay: Mutex::new(Duration::ZERO),
            commit_delay: Mutex::new(Duration::ZERO),
            max_value: Mutex::new(MAX_VALUE_BYTES),
            overload_protection: Mutex::new(false),
        })
    }

    /// Sets the duration and outcome of runs that start from now on.
    pub fn simulate_runs(&self, run: SimulatedRun) {
        *self.simulated_run.lock() = run;
    }

    /// Sets the delay of reads by prefix. A long one simulates the read of a long log.
    pub fn set_range_delay(&self, delay: Duration) {
        *self.range_delay.lock() = delay;
    }

    /// Sets how long a start order takes to reach its worker.
    pub fn set_start_delay(&self, delay: Duration) {
        *self.start_delay.lock() = delay;
    }

    /// Sets the delay of answers to transactions, which still take effect at once.
    pub fn set_commit_delay(&self, delay: Duration) {
        *self.commit_delay.lock() = delay;
    }

    /// Turns on overload protection on hosts that start from now on.
    pub fn protect_from_overload(&self) {
        *self.overload_protection.lock() = true;
    }

    /// Number of transactions that reached the store, whether they were applied or rejected.
    pub fn commits_sent(&self) -> usize {
        self.state.lock().commits_sent
    }

    /// Highest number of transactions that awaited an answer at the same time.
    pub fn max_concurrent_commits(&self) -> usize {
        self.state.lock().max_concurrent_commits
    }

    /// Highest number of start orders that were in progress to one worker at the same time.
    pub fn max_concurrent_starts(&self) -> usize {
        self.state.lock().max_concurrent_starts
    }

    /// Adds a worker, or replaces the incarnation of one with the same name. The directory does not report its start
    /// time.
    pub fn add_worker(&self, name: &str, info: WorkerInfo) {
        self.add_incarnation(name, info, None);
    }

    /// Like `add_worker`, with the start time that the directory reports, in milliseconds since 1970.
    pub fn add_incarnation(&self, name: &str, info: WorkerInfo, born: Option<u64>) {
        let runner = Runner { born, info: info.clone(), ..Runner::new(info.address, info.capacity) };
        self.state.lock().workers.insert(name.to_owned(), runner);
    }

    /// Calls `change` on a worker. Returns `None` if there is no worker of this name.
    pub fn update_worker<T>(&self, id: &str, change: impl FnOnce(&mut Runner) -> T) -> Option<T> {
        self.state.lock().workers.get_mut(id).map(change)
    }

    /// Replaces the configuration and wakes watches.
    pub fn set_config(&self, config: Config) {
        let mut state = self.state.lock();
        state.config = Some(config);
        self.record_change(&mut state);
    }

    /// Number of reads and watches of the configuration.
    pub fn config_calls(&self) -> usize {
        self.state.lock().config_calls
    }

    /// Number of calls of a host to the store. A watch adds a call each time it checks for a change.
    pub fn store_calls(&self, host: &str) -> usize {
        self.state.lock().store_calls.get(host).copied().unwrap_or_default()
    }

    /// Sets the delay of the store's answers to a host's reads of single keys and lease renewals.
    pub fn set_answer_delay(&self, host: &str, delay: Duration) {
        self.state.lock().answer_delays.insert(host.to_owned(), delay);
    }

    /// Makes the store fail all calls of a host, or ends this.
    pub fn set_store_unavailable(&self, host: &str, away: bool) {
        let mut state = self.state.lock();
        if away {
            state.unavailable_hosts.insert(host.to_owned());
        } else {
            state.unavailable_hosts.remove(host);
        }
    }

    /// Number of dropped transactions whose sender stopped waiting before its own timeout.
    pub fn abandoned_commits(&self) -> usize {
        self.state.lock().abandoned_commits
    }

    /// Number of transactions that were applied.
    pub fn commits(&self) -> usize {
        self.state.lock().commits
    }

    /// Runs in the order of their start.
    pub fn starts(&self) -> Vec<(WorkerId, Task, Attempt)> {
        self.state.lock().starts.clone()
    }

    /// Starts an entry host of this cell. Its lease lasts 1 s, as on the platform.
    ///
    /// # Errors
    /// If no port can be opened.
    pub async fn start_host(self: &Arc<Cell>, name: &str) -> std::io::Result<Arc<entry::Host>> {
        self.start_host_with_claim_delay(name, Duration::ZERO).await
    }

    /// Starts an entry host that waits for `claim_delay` before it claims leadership, as weak hosts do.
    ///
    /// # Errors
    /// If no port can be opened.
    pub async fn start_host_with_claim_delay(
        self: &Arc<Cell>,
        name: &str,
        claim_delay: Duration,
    ) -> std::io::Result<Arc<entry::Host>> {
        let listener = TcpListener::bind(crate::any_port()).await?;
        let settings = Settings {
            host: name.to_owned(),
            incarnation: self.started_at.elapsed().as_nanos() as u64,
            address: listener.local_addr()?.to_string(),
            limits: Limits::example(),
            lease_ttl: Duration::from_millis(1000),
            max_value: MAX_VALUE_BYTES,
            max_admission_delay: MAX_ADMISSION_DELAY,
            claim_delay,
            job_memory: 64_000_000,
            overload_protection: *self.overload_protection.lock(),
        };
        let host_view = Arc::new(HostView { cell: self.clone(), host: name.to_owned() });
        let (cell, host_name) = (self.clone(), name.to_owned());
        let services = Services {
            store: host_view.clone(),
            directory: host_view.clone(),
            workers: host_view.clone(),
            adviser: Some(host_view.clone()),
            clock: clock::Clock::new(move || cell.host_time(&host_name)),
        };
        let host = entry::Host::new(settings, services, events::silent(), metrics::JobMetrics::default());
        entry::spawn(&host, listener);
        Ok(host)
    }

    /// Increments the revision and wakes watches.
    fn record_change(&self, state: &mut State) {
        state.revision += 1;
        self.changed.send_replace(state.revision);
    }

    /// The time on the clocks of all workers.
    pub fn worker_clock(&self) -> Duration {
        self.now()
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn expire_leases(&self, state: &mut State) {
        let now = Instant::now();
        let expired: Vec<LeaseId> =
            state.leases.iter().filter(|(_, lease)| lease.ends_at < now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|lease| self.drop_lease(state, lease));
    }

    fn drop_lease(&self, state: &mut State, lease: LeaseId) {
        state.leases.remove(&lease);
        let before = state.items.len();
        state.items.retain(|_, stored| stored.lease != lease);
        if state.items.len() != before {
            self.record_change(state);
        }
    }

    fn apply(&self, state: &mut State, transaction: &Transaction) -> CommitOutcome {
        let current = |key: &String| state.items.get(key).map_or(0, |stored| stored.revision);
        if transaction.expected.iter().any(|(key, revision)| current(key) != *revision) {
            let items = transaction.expected.iter().filter_map(|(key, _)| key_value(state, key));
            return CommitOutcome::Conflict(items.collect());
        }
        if transaction.puts.iter().any(|put| put.lease != 0 && !state.leases.contains_key(&put.lease)) {
            return CommitOutcome::NoLease;
        }
        state.revision += 1;
        state.commits += 1;
        let revision = state.revision;
        for put in &transaction.puts {
            state.items.insert(put.key.clone(), StoredValue { value: put.value.clone(), revision, lease: put.lease });
        }
        transaction.removes.iter().for_each(|key| {
            state.items.remove(key);
        });
        self.changed.send_replace(revision);
        CommitOutcome::Done(revision)
    }
}

fn key_value(state: &State, key: &str) -> Option<KeyValue> {
    let stored = state.items.get(key)?;
    Some(KeyValue { key: key.to_owned(), value: stored.value.clone(), revision: stored.revision })
}

impl HostView {
    fn with_store<T>(&self, call: impl FnOnce(&mut State) -> T) -> Result<T, ServiceError> {
        let mut state = self.cell.state.lock();
        *state.store_calls.entry(self.host.clone()).or_default() += 1;
        if state.unavailable_hosts.contains(&self.host) {
            return Err(ServiceError::NotDone("the store is unavailable to this host".to_owned()));
        }
        self.cell.expire_leases(&mut state);
        Ok(call(&mut state))
    }

    /// Waits for this host's answer delay.
    async fn delay_answer(&self) {
        let delay = self.cell.state.lock().answer_delays.get(&self.host).copied().unwrap_or_default();
        tokio::time::sleep(delay).await;
    }

    async fn wait_for_change(&self, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError> {
        let mut changed = self.cell.changed.subscribe();
        // No call reports that a lease has expired, so the revision is also checked at intervals.
        let until = Instant::now() + wait;
        while Instant::now() < until {
            let now = self.with_store(|state| state.revision)?;
            if now > revision {
                return Ok(WatchResult::Changed);
            }
            let _ = tokio::time::timeout(Duration::from_millis(20), changed.changed()).await;
        }
        Ok(WatchResult::Unchanged(revision))
    }
}

impl HostView {
    /// Counts a read or watch of the configuration. Never returns if such calls of this host aren't answered, even if
    /// later ones are.
    async fn begin_config_call(&self) {
        let silent = {
            let mut state = self.cell.state.lock();
            state.config_calls += 1;
            state.silent_config_hosts.contains(&self.host)
        };
        if silent {
            std::future::pending().await
        }
    }

    /// Whether the next transaction is to be dropped; counts it if so.
    fn take_dropped_commit(&self) -> bool {
        let mut state = self.cell.state.lock();
        let dropped = state.commits_to_drop > 0;
        state.commits_to_drop = state.commits_to_drop.saturating_sub(1);
        dropped
    }
}

#[async_trait]
impl entry::Store for HostView {
    async fn get(&self, key: &str) -> Result<Read, ServiceError> {
        self.delay_answer().await;
        self.with_store(|state| Read { item: key_value(state, key), revision: state.revision })
    }

    async fn range(&self, prefix: &str) -> Result<Vec<KeyValue>, ServiceError> {
        let delay = *self.cell.range_delay.lock();
        tokio::time::sleep(delay).await;
        if self.cell.state.lock().silent_range_hosts.contains(&self.host) {
            std::future::pending::<()>().await;
        }
        self.with_store(|state| {
            let keys: Vec<String> = state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect();
            keys.iter().filter_map(|key| key_value(state, key)).collect()
        })
    }

    async fn watch(&self, _prefix: &str, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError> {
        if self.cell.state.lock().silent_watches {
            std::future::pending::<()>().await;
        }
        self.wait_for_change(revision, wait).await
    }

    async fn commit(&self, transaction: &Transaction, timeout: Duration) -> Result<CommitOutcome, ServiceError> {
        if self.take_dropped_commit() {
            let unanswered = UnansweredCommit(&self.cell);
            tokio::time::sleep(timeout).await;
            std::mem::forget(unanswered);
            return Err(ServiceError::Unknown("the transaction was dropped".to_owned()));
        }
        let _in_progress = CommitInProgress::begin(&self.cell);
        if transaction.puts.iter().any(|put| put.value.len() > *self.cell.max_value.lock()) {
            return Err(ServiceError::Rejected("a value is too large".to_owned()));
        }
        let committed = self.with_store(|state| {
            state.commits_sent += 1;
            let commit = self.cell.apply(state, transaction);
            if state.answers_to_lose > 0 {
                state.answers_to_lose -= 1;
                return Err(ServiceError::Unknown("the answer is lost".to_owned()));
            }
            Ok(commit)
        })?;
        let delay = *self.cell.commit_delay.lock();
        tokio::time::sleep(delay.min(timeout)).await;
        if delay > timeout { Err(ServiceError::Unknown("the answer came too late".to_owned())) } else { committed }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, ServiceError> {
        self.with_store(|state| {
            state.next_lease += 1;
            state.leases.insert(state.next_lease, Lease { ends_at: Instant::now() + ttl, ttl });
            state.next_lease
        })
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, ServiceError> {
        let renewed = self.with_store(|state| match state.leases.get_mut(&lease) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                true
            }
            None => false,
        });
        self.delay_answer().await;
        renewed
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), ServiceError> {
        self.with_store(|state| self.cell.drop_lease(state, lease))
    }
}

#[async_trait]
impl entry::Directory for HostView {
    async fn config(&self) -> Result<(Option<Config>, u64), ServiceError> {
        self.begin_config_call().await;
        self.with_store(|state| (state.config.clone(), state.revision))
    }

    async fn watch_config(&self, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError> {
        self.begin_config_call().await;
        self.wait_for_change(revision, wait).await
    }

    async fn workers(&self) -> Result<BTreeMap<WorkerId, WorkerInfo>, ServiceError> {
        assert!(
            !std::mem::take(&mut self.cell.state.lock().panic_on_worker_list),
            "a test made the next read of the worker list panic"
        );
        let entry = |(name, worker): (&String, &Runner)| {
            (WorkerIncarnation { name, born: worker.born }.id(), worker.info.clone())
        };
        self.with_store(|state| state.workers.iter().map(entry).collect())
    }
}

#[async_trait]
impl entry::Adviser for HostView {
    async fn advise(&self, _unit: Unit, workers: &[WorkerId]) -> Result<Vec<(WorkerId, String)>, ServiceError> {
        Ok(workers.iter().map(|worker| (worker.clone(), "ticket".to_owned())).collect())
    }
}
