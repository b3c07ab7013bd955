//! Facts about workers and attempts: what this host publishes of those that it holds, and what its neighbours
//! publish of theirs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use board::{Board, Delta, Version};
use futures_util::future::join_all;
use model::task::{Attempt, Id};
use model::{Epoch, HostId, Incarnation, WorkerId};
use parking_lot::Mutex;
use tokio::sync::Notify;
use wire::{Answer, Fact, FactKey, Request, TaskFact, WorkerFact};

use crate::shared::Shared;

/// Two rounds of pulls keep at least this distance.
const SPACING: Duration = Duration::from_millis(20);

type Published = Board<FactKey, Fact>;

struct View {
    incarnation: Incarnation,
    board: Published,
}

#[derive(Default)]
struct State {
    own: Published,
    views: HashMap<HostId, View>,
    /// The holder of each worker, by the highest epoch published.
    holders: HashMap<WorkerId, (Epoch, HostId)>,
}

/// All facts of the data centre.
pub(crate) struct Facts {
    own_host: HostId,
    state: Mutex<State>,
    /// Set when a neighbour has newer facts.
    pub(crate) behind: Notify,
}

/// A fact that changed, and that its host is the worker's holder.
pub(crate) enum Change {
    /// A worker's state.
    Worker,
    /// An attempt's state, and whether its worker is on probation.
    Task(Id, Attempt, TaskFact, bool),
}

impl Facts {
    pub(crate) fn new(own_host: HostId) -> Facts {
        Facts { own_host, state: Mutex::default(), behind: Notify::new() }
    }

    pub(crate) fn own_version(&self) -> Version {
        self.state.lock().own.version()
    }

    pub(crate) fn own_delta(&self, since: Version) -> Delta<FactKey, Fact> {
        self.state.lock().own.delta(since)
    }

    /// Replaces what this host publishes of one worker, in one step. Returns what changed.
    pub(crate) fn publish(&self, worker: &WorkerId, fact: WorkerFact, tasks: Vec<(FactKey, Fact)>) -> Vec<Change> {
        let mut state = self.state.lock();
        let stale: Vec<FactKey> = published_tasks(&state.own, worker)
            .filter(|key| !tasks.iter().any(|(kept, _)| kept == *key))
            .cloned()
            .collect();
        for key in stale {
            state.own.remove(&key);
        }
        let mut changed = Vec::new();
        note_holder(&mut state.holders, worker, fact.epoch, &self.own_host);
        let probation = fact.probation;
        if state.own.set(FactKey::Worker(worker.clone()), Fact::Worker(fact)) {
            changed.push(Change::Worker);
        }
        for (key, value) in tasks {
            if !state.own.set(key.clone(), value.clone()) {
                continue;
            }
            if let (FactKey::Task(task, attempt), Fact::Task(fact)) = (key, value) {
                changed.push(Change::Task(task, attempt, fact, probation));
            }
        }
        changed
    }

    /// Withdraws a worker that this host does not hold any more.
    pub(crate) fn withdraw(&self, worker: &WorkerId) {
        let mut state = self.state.lock();
        let keys: Vec<FactKey> = published_tasks(&state.own, worker).cloned().collect();
        for key in keys {
            state.own.remove(&key);
        }
        state.own.remove(&FactKey::Worker(worker.clone()));
    }

    pub(crate) fn is_behind(&self, host: &HostId, incarnation: Incarnation, version: Version) -> bool {
        self.state.lock().views.get(host).is_none_or(|view| {
            view.incarnation < incarnation || (view.incarnation == incarnation && view.board.version() < version)
        })
    }

    /// The version to pull from: 0 for a new life of the host.
    fn since(&self, host: &HostId, incarnation: Incarnation) -> Version {
        let state = self.state.lock();
        state.views.get(host).filter(|view| view.incarnation == incarnation).map_or(0, |view| view.board.version())
    }

    fn apply(&self, host: &HostId, incarnation: Incarnation, delta: Delta<FactKey, Fact>) -> Vec<Change> {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let view = state
            .views
            .entry(host.clone())
            .and_modify(|view| {
                if view.incarnation != incarnation {
                    *view = View { incarnation, board: Board::default() };
                }
            })
            .or_insert_with(|| View { incarnation, board: Board::default() });
        let items = delta.items.clone();
        if !view.board.apply(delta) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for (key, fact, _) in items {
            match (key, fact) {
                (FactKey::Worker(worker), Fact::Worker(fact)) => {
                    note_holder(&mut state.holders, &worker, fact.epoch, host);
                    changed.push(Change::Worker);
                }
                (FactKey::Task(task, attempt), Fact::Task(fact)) => {
                    let Some(held) = worker_in(&view.board, &fact.worker) else { continue };
                    let probation = held.probation;
                    if is_holder(&state.holders, &fact.worker, held.epoch, host) {
                        changed.push(Change::Task(task, attempt, fact, probation));
                    }
                }
                _ => {}
            }
        }
        changed
    }

    /// The holder of a worker and its fact.
    pub(crate) fn holder(&self, worker: &WorkerId) -> Option<(HostId, WorkerFact)> {
        let state = self.state.lock();
        let (epoch, host) = state.holders.get(worker)?;
        let fact = worker_in(self.board_of(&state, host)?, worker)?;
        (fact.epoch == *epoch).then(|| (host.clone(), fact.clone()))
    }

    /// The highest epoch that was ever published for a worker.
    pub(crate) fn highest_epoch(&self, worker: &WorkerId) -> Epoch {
        self.state.lock().holders.get(worker).map_or(0, |(epoch, _)| *epoch)
    }

    fn board_of<'a>(&self, state: &'a State, host: &HostId) -> Option<&'a Published> {
        if *host == self.own_host {
            return Some(&state.own);
        }
        state.views.get(host).map(|view| &view.board)
    }

    /// Every worker with its holder and fact.
    pub(crate) fn workers(&self) -> Vec<(WorkerId, HostId, WorkerFact)> {
        let state = self.state.lock();
        let mut workers = Vec::with_capacity(state.holders.len());
        for (worker, (epoch, host)) in &state.holders {
            let Some(fact) = self.board_of(&state, host).and_then(|board| worker_in(board, worker)) else { continue };
            if fact.epoch == *epoch {
                workers.push((worker.clone(), host.clone(), fact.clone()));
            }
        }
        workers.sort_by(|left, right| left.0.cmp(&right.0));
        workers
    }

    /// Every attempt on a worker, as its holder publishes it, with the holder.
    pub(crate) fn tasks(&self) -> Vec<(Id, Attempt, TaskFact)> {
        let state = self.state.lock();
        let views = state.views.iter().map(|(host, view)| (host, &view.board));
        let mut tasks = Vec::new();
        for (host, board) in views.chain([(&self.own_host, &state.own)]) {
            for (key, fact) in board.iter() {
                let (FactKey::Task(task, attempt), Fact::Task(fact)) = (key, fact) else { continue };
                let held = worker_in(board, &fact.worker);
                if held.is_some_and(|held| is_holder(&state.holders, &fact.worker, held.epoch, host)) {
                    tasks.push((task.clone(), *attempt, fact.clone()));
                }
            }
        }
        tasks
    }

    /// Whether the holder of a worker, which has its whole inventory, surely does not know an attempt there.
    /// `committed` is the host and version of its facts that must show the attempt, when that is known.
    pub(crate) fn lacks(
        &self,
        worker: &WorkerId,
        task: &Id,
        attempt: Attempt,
        committed: Option<&(HostId, Version)>,
    ) -> bool {
        let state = self.state.lock();
        let Some((epoch, host)) = state.holders.get(worker) else { return false };
        let Some(board) = self.board_of(&state, host) else { return false };
        let Some(held) = worker_in(board, worker) else { return false };
        if held.epoch != *epoch || !held.reachable {
            return false;
        }
        if let Some((by, version)) = committed
            && by == host
            && board.version() < *version
        {
            return false;
        }
        board.get(&FactKey::Task(task.clone(), attempt)).is_none()
    }
}

fn published_tasks<'a>(board: &'a Published, worker: &'a WorkerId) -> impl Iterator<Item = &'a FactKey> + 'a {
    board.iter().filter_map(move |(key, fact)| match fact {
        Fact::Task(fact) if fact.worker == *worker => Some(key),
        _ => None,
    })
}

fn worker_in<'a>(board: &'a Published, worker: &WorkerId) -> Option<&'a WorkerFact> {
    match board.get(&FactKey::Worker(worker.clone()))? {
        Fact::Worker(fact) => Some(fact),
        Fact::Task(_) => None,
    }
}

/// The holder is the host with the highest epoch.
fn note_holder(holders: &mut HashMap<WorkerId, (Epoch, HostId)>, worker: &WorkerId, epoch: Epoch, host: &HostId) {
    let holder = holders.entry(worker.clone()).or_insert_with(|| (epoch, host.clone()));
    if epoch > holder.0 {
        *holder = (epoch, host.clone());
    }
}

fn is_holder(holders: &HashMap<WorkerId, (Epoch, HostId)>, worker: &WorkerId, epoch: Epoch, host: &HostId) -> bool {
    holders.get(worker).is_some_and(|(highest, by)| *highest == epoch && by == host)
}

/// Pulls facts from neighbours that have newer ones, until the process ends.
pub(crate) async fn follow(shared: Arc<Shared>) {
    loop {
        shared.facts.behind.notified().await;
        let behind = shared
            .membership
            .neighbours()
            .into_iter()
            .filter(|member| shared.facts.is_behind(&member.peer.host, member.incarnation, member.facts));
        join_all(behind.map(|member| pull(&shared, member))).await;
        tokio::time::sleep(SPACING).await;
    }
}

async fn pull(shared: &Arc<Shared>, member: member::Member) {
    let since = shared.facts.since(&member.peer.host, member.incarnation);
    let answer = shared.links.call(member.peer.peers, &Request::Facts { since }).await;
    let Ok(Answer::Facts(delta)) = answer else { return };
    let changed = shared.facts.apply(&member.peer.host, member.incarnation, delta);
    crate::owner::observe(shared, changed);
}
