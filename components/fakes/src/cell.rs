//! Stand-ins for the outside of entry hosts, in memory: a store with leases, workers, an adviser. The store can turn
//! single hosts away, lose answers and carry transactions out late.

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
use calls::{Answering, Calls, Waiting};

/// How a run goes.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedRun {
    /// How long it takes.
    pub duration: Duration,
    /// How it ends.
    pub outcome: RunOutcome,
}

/// A value in the store.
struct Kept {
    value: Vec<u8>,
    revision: u64,
    /// 0 for none.
    lease: LeaseId,
}

struct Lease {
    ends: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Kept>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: LeaseId,
    turned_away: BTreeSet<String>,
    lost_answers: usize,
    swallowed: usize,
    broken_list: bool,
    abandoned: usize,
    /// Starts under way, by worker.
    under_way: BTreeMap<WorkerId, usize>,
    most_under_way: usize,
    commits: usize,
    commits_sent: usize,
    /// Transactions whose answers are on their way, and the most that there were.
    answering: usize,
    most_answering: usize,
    config: Option<Config>,
    /// How often the configuration was read, or waited for.
    config_calls: usize,
    /// Calls of each host to the store; one that waits counts while it does.
    store_calls: BTreeMap<String, usize>,
    /// How long the store takes to answer a host's reads and renewals.
    answers_take: BTreeMap<String, Duration>,
    /// By name.
    workers: BTreeMap<String, Runner>,
    starts: Vec<(WorkerId, Task, Attempt)>,
    calls: Calls,
}

/// The outside of all hosts of a test.
pub struct Cell {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    began: Instant,
    /// How long the machine of each host was suspended.
    suspensions: Mutex<BTreeMap<String, Duration>>,
    conduct: Mutex<SimulatedRun>,
    range_takes: Mutex<Duration>,
    start_takes: Mutex<Duration>,
    commit_takes: Mutex<Duration>,
}

/// The outside as one host sees it.
struct View {
    cell: Arc<Cell>,
    host: String,
}

impl Cell {
    /// A cell without workers, whose runs take no time and succeed.
    pub fn new(config: Config) -> Arc<Cell> {
        let state = State { config: Some(config), ..State::default() };
        Arc::new(Cell {
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            began: Instant::now(),
            suspensions: Mutex::new(BTreeMap::new()),
            conduct: Mutex::new(SimulatedRun { duration: Duration::ZERO, outcome: RunOutcome::Done }),
            range_takes: Mutex::new(Duration::ZERO),
            start_takes: Mutex::new(Duration::ZERO),
            commit_takes: Mutex::new(Duration::ZERO),
        })
    }

    /// How runs go that start from now on.
    pub fn simulate_runs(&self, conduct: SimulatedRun) {
        *self.conduct.lock() = conduct;
    }

    /// How long a read of a prefix takes, such as that of a long log.
    pub fn set_range_delay(&self, time: Duration) {
        *self.range_takes.lock() = time;
    }

    /// How long a start takes until it is answered.
    pub fn set_start_delay(&self, time: Duration) {
        *self.start_takes.lock() = time;
    }

    /// How long a transaction takes until it is answered; it is done at once.
    pub fn set_commit_delay(&self, time: Duration) {
        *self.commit_takes.lock() = time;
    }

    /// Transactions that were sent.
    pub fn commits_sent(&self) -> usize {
        self.state.lock().commits_sent
    }

    /// Most transactions that were on their way at once.
    pub fn max_concurrent_commits(&self) -> usize {
        self.state.lock().most_answering
    }

    /// Most starts that were under way to one worker at once.
    pub fn max_concurrent_starts(&self) -> usize {
        self.state.lock().most_under_way
    }

    /// Adds a worker, or another life of one that keeps its name, whose birth isn't told.
    pub fn add_worker(&self, name: &str, info: WorkerInfo) {
        self.add_incarnation(name, info, None);
    }

    /// The same with its birth.
    pub fn add_incarnation(&self, name: &str, info: WorkerInfo, born: Option<u64>) {
        let runner = Runner { born, info: info.clone(), ..Runner::new(info.address, info.capacity) };
        self.state.lock().workers.insert(name.to_owned(), runner);
    }

    /// Changes a worker.
    pub fn update_worker<T>(&self, id: &str, change: impl FnOnce(&mut Runner) -> T) -> Option<T> {
        self.state.lock().workers.get_mut(id).map(change)
    }

    /// Replaces the configuration.
    pub fn set_config(&self, config: Config) {
        let mut state = self.state.lock();
        state.config = Some(config);
        self.change(&mut state);
    }

    /// How often the configuration was read, or waited for.
    pub fn config_calls(&self) -> usize {
        self.state.lock().config_calls
    }

    /// Calls of a host to the store. One that waits goes on being counted.
    pub fn store_calls(&self, host: &str) -> usize {
        self.state.lock().store_calls.get(host).copied().unwrap_or_default()
    }

    /// How long the store takes from now on to answer a host's reads of a key and renewals of leases.
    pub fn set_answer_delay(&self, host: &str, time: Duration) {
        self.state.lock().answers_take.insert(host.to_owned(), time);
    }

    /// The store answers this host no more, or again.
    pub fn set_store_unavailable(&self, host: &str, away: bool) {
        let mut state = self.state.lock();
        if away {
            state.turned_away.insert(host.to_owned());
        } else {
            state.turned_away.remove(host);
        }
    }

    /// The next transactions are done, but their answers are lost.
    pub fn lose_commit_answers(&self, count: usize) {
        self.state.lock().lost_answers = count;
    }

    /// The next transactions are neither done nor answered, while other calls are.
    pub fn drop_commits(&self, count: usize) {
        self.state.lock().swallowed = count;
    }

    /// Transactions that were given up by their sender before the time was over for which it wanted to wait.
    pub fn abandoned_commits(&self) -> usize {
        self.state.lock().abandoned
    }

    /// Transactions that were done.
    pub fn commits(&self) -> usize {
        self.state.lock().commits
    }

    /// Runs that began, in their order.
    pub fn starts(&self) -> Vec<(WorkerId, Task, Attempt)> {
        self.state.lock().starts.clone()
    }

    /// Starts an entry host of this cell, with a lease of 1 s, as on the platform.
    pub async fn start_host(self: &Arc<Cell>, name: &str) -> std::io::Result<Arc<entry::Host>> {
        self.start_host_with_claim_delay(name, Duration::ZERO).await
    }

    /// Starts an entry host that waits so long before it claims leadership, as weak ones do.
    pub async fn start_host_with_claim_delay(
        self: &Arc<Cell>,
        name: &str,
        claim_delay: Duration,
    ) -> std::io::Result<Arc<entry::Host>> {
        let listener = TcpListener::bind(crate::any_port()).await?;
        let settings = Settings {
            host: name.to_owned(),
            incarnation: self.began.elapsed().as_nanos() as u64,
            address: listener.local_addr()?.to_string(),
            limits: Limits::example(),
            lease_ttl: Duration::from_millis(1000),
            claim_delay,
        };
        let view = Arc::new(View { cell: self.clone(), host: name.to_owned() });
        let (cell, of) = (self.clone(), name.to_owned());
        let services = Services {
            store: view.clone(),
            directory: view.clone(),
            workers: view.clone(),
            adviser: Some(view.clone()),
            clock: clock::Clock::new(move || cell.host_time(&of)),
        };
        let host = entry::Host::new(settings, services, events::silent(), metrics::Jobs::default());
        entry::spawn(&host, listener);
        Ok(host)
    }

    /// Counts a change, and wakes those who wait for one.
    fn change(&self, state: &mut State) {
        state.revision += 1;
        self.changed.send_replace(state.revision);
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn expire(&self, state: &mut State) {
        let now = Instant::now();
        let over: Vec<LeaseId> = state.leases.iter().filter(|(_, lease)| lease.ends < now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|lease| self.drop_lease(state, lease));
    }

    fn drop_lease(&self, state: &mut State, lease: LeaseId) {
        state.leases.remove(&lease);
        let before = state.items.len();
        state.items.retain(|_, kept| kept.lease != lease);
        if state.items.len() != before {
            self.change(state);
        }
    }

    fn carry_out(&self, state: &mut State, transaction: &Transaction) -> CommitOutcome {
        let present = |key: &String| state.items.get(key).map_or(0, |kept| kept.revision);
        if transaction.expected.iter().any(|(key, revision)| present(key) != *revision) {
            let items = transaction.expected.iter().filter_map(|(key, _)| item(state, key));
            return CommitOutcome::Conflict(items.collect());
        }
        if transaction.puts.iter().any(|put| put.lease != 0 && !state.leases.contains_key(&put.lease)) {
            return CommitOutcome::NoLease;
        }
        state.revision += 1;
        state.commits += 1;
        let revision = state.revision;
        for put in &transaction.puts {
            state.items.insert(put.key.clone(), Kept { value: put.value.clone(), revision, lease: put.lease });
        }
        transaction.removes.iter().for_each(|key| {
            state.items.remove(key);
        });
        self.changed.send_replace(revision);
        CommitOutcome::Done(revision)
    }
}

fn item(state: &State, key: &str) -> Option<KeyValue> {
    let kept = state.items.get(key)?;
    Some(KeyValue { key: key.to_owned(), value: kept.value.clone(), revision: kept.revision })
}

impl View {
    fn store<T>(&self, call: impl FnOnce(&mut State) -> T) -> Result<T, ServiceError> {
        let mut state = self.cell.state.lock();
        *state.store_calls.entry(self.host.clone()).or_default() += 1;
        if state.turned_away.contains(&self.host) {
            return Err(ServiceError::NotDone("turned away".to_owned()));
        }
        self.cell.expire(&mut state);
        Ok(call(&mut state))
    }

    /// An answer is on its way, as long as answers to this host take.
    async fn answer(&self) {
        let takes = self.cell.state.lock().answers_take.get(&self.host).copied().unwrap_or_default();
        tokio::time::sleep(takes).await;
    }

    async fn wait(&self, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError> {
        let mut changed = self.cell.changed.subscribe();
        // Leases run out without a call: the wait looks for that, too.
        let until = Instant::now() + wait;
        while Instant::now() < until {
            let now = self.store(|state| state.revision)?;
            if now > revision {
                return Ok(WatchResult::Changed);
            }
            let _ = tokio::time::timeout(Duration::from_millis(20), changed.changed()).await;
        }
        Ok(WatchResult::Unchanged(revision))
    }
}

impl View {
    /// Whether the next transaction is swallowed.
    fn swallows(&self) -> bool {
        let mut state = self.cell.state.lock();
        let swallows = state.swallowed > 0;
        state.swallowed = state.swallowed.saturating_sub(1);
        swallows
    }
}

#[async_trait]
impl entry::Store for View {
    async fn get(&self, key: &str) -> Result<Read, ServiceError> {
        self.answer().await;
        self.store(|state| Read { item: item(state, key), revision: state.revision })
    }

    async fn range(&self, prefix: &str) -> Result<Vec<KeyValue>, ServiceError> {
        let takes = *self.cell.range_takes.lock();
        tokio::time::sleep(takes).await;
        self.store(|state| {
            let keys: Vec<String> = state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect();
            keys.iter().filter_map(|key| item(state, key)).collect()
        })
    }

    async fn watch(&self, _prefix: &str, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError> {
        self.wait(revision, wait).await
    }

    async fn commit(&self, transaction: &Transaction, patience: Duration) -> Result<CommitOutcome, ServiceError> {
        if self.swallows() {
            let waiting = Waiting(&self.cell);
            tokio::time::sleep(patience).await;
            std::mem::forget(waiting);
            return Err(ServiceError::Unknown("swallowed".to_owned()));
        }
        let _answering = Answering::begin(&self.cell);
        let committed = self.store(|state| {
            state.commits_sent += 1;
            let commit = self.cell.carry_out(state, transaction);
            if state.lost_answers > 0 {
                state.lost_answers -= 1;
                return Err(ServiceError::Unknown("the answer is lost".to_owned()));
            }
            Ok(commit)
        })?;
        let takes = *self.cell.commit_takes.lock();
        tokio::time::sleep(takes.min(patience)).await;
        if takes > patience { Err(ServiceError::Unknown("too slow".to_owned())) } else { committed }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, ServiceError> {
        self.store(|state| {
            state.next_lease += 1;
            state.leases.insert(state.next_lease, Lease { ends: Instant::now() + ttl, ttl });
            state.next_lease
        })
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, ServiceError> {
        let kept = self.store(|state| match state.leases.get_mut(&lease) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                true
            }
            None => false,
        });
        self.answer().await;
        kept
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), ServiceError> {
        self.store(|state| self.cell.drop_lease(state, lease))
    }
}

#[async_trait]
impl entry::Directory for View {
    async fn config(&self) -> Result<(Option<Config>, u64), ServiceError> {
        self.store(|state| {
            state.config_calls += 1;
            (state.config.clone(), state.revision)
        })
    }

    async fn watch_config(&self, revision: u64, wait: Duration) -> Result<WatchResult, ServiceError> {
        self.store(|state| state.config_calls += 1)?;
        self.wait(revision, wait).await
    }

    async fn workers(&self) -> Result<BTreeMap<WorkerId, WorkerInfo>, ServiceError> {
        assert!(
            !std::mem::take(&mut self.cell.state.lock().broken_list),
            "the list breaks its reader, as a test wants it"
        );
        let life = |(name, worker): (&String, &Runner)| {
            (WorkerIncarnation { name, born: worker.born }.id(), worker.info.clone())
        };
        self.store(|state| state.workers.iter().map(life).collect())
    }
}

#[async_trait]
impl entry::Adviser for View {
    async fn advise(&self, _unit: Unit, workers: &[WorkerId]) -> Result<Vec<(WorkerId, String)>, ServiceError> {
        Ok(workers.iter().map(|worker| (worker.clone(), "ticket".to_owned())).collect())
    }
}
