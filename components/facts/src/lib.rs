//! Facts about workers and attempts: what this host publishes of those that it holds, and what its neighbours
//! publish of theirs. The holder of a worker is the host that published it with the highest epoch; what others
//! say of it is out of date.
//!
//! No sockets and no clock: what peers sent goes in, and what can be concluded comes out.

use std::collections::HashMap;

use board::{Board, Delta, Version};
use model::task::{Attempt, Id};
use model::{Epoch, HostId, Incarnation, WorkerId};
use parking_lot::Mutex;
use wire::{Fact, FactKey, TaskFact, WorkerFact};

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
pub struct Facts {
    own_host: HostId,
    state: Mutex<State>,
}

/// A fact that changed, and that its host is the worker's holder.
pub enum Change {
    /// A worker's state.
    Worker,
    /// An attempt's state, and whether its worker is on probation.
    Task(Id, Attempt, TaskFact, bool),
}

impl Facts {
    /// No facts yet, for the host `own_host`.
    pub fn new(own_host: HostId) -> Facts {
        Facts { own_host, state: Mutex::default() }
    }

    /// Version of what this host publishes.
    pub fn own_version(&self) -> Version {
        self.state.lock().own.version()
    }

    /// What this host published after a version.
    pub fn own_delta(&self, since: Version) -> Delta<FactKey, Fact> {
        self.state.lock().own.delta(since)
    }

    /// Replaces what this host publishes of one worker, in one step. Returns what changed.
    pub fn publish(&self, worker: &WorkerId, fact: WorkerFact, tasks: Vec<(FactKey, Fact)>) -> Vec<Change> {
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
    pub fn withdraw(&self, worker: &WorkerId) {
        let mut state = self.state.lock();
        let keys: Vec<FactKey> = published_tasks(&state.own, worker).cloned().collect();
        for key in keys {
            state.own.remove(&key);
        }
        state.own.remove(&FactKey::Worker(worker.clone()));
    }

    /// Whether a neighbour has facts that were not pulled yet.
    pub fn is_behind(&self, host: &HostId, incarnation: Incarnation, version: Version) -> bool {
        self.state.lock().views.get(host).is_none_or(|view| {
            view.incarnation < incarnation || (view.incarnation == incarnation && view.board.version() < version)
        })
    }

    /// The version to pull from: 0 for a new life of the host.
    pub fn known_version(&self, host: &HostId, incarnation: Incarnation) -> Version {
        let state = self.state.lock();
        state.views.get(host).filter(|view| view.incarnation == incarnation).map_or(0, |view| view.board.version())
    }

    /// Takes in what a neighbour sent. Returns what changed of the workers that it holds.
    pub fn apply(&self, host: &HostId, incarnation: Incarnation, delta: Delta<FactKey, Fact>) -> Vec<Change> {
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
    pub fn holder(&self, worker: &WorkerId) -> Option<(HostId, WorkerFact)> {
        let state = self.state.lock();
        let (epoch, host) = state.holders.get(worker)?;
        let fact = worker_in(self.board_of(&state, host)?, worker)?;
        (fact.epoch == *epoch).then(|| (host.clone(), fact.clone()))
    }

    /// The highest epoch that was ever published for a worker.
    pub fn highest_epoch(&self, worker: &WorkerId) -> Epoch {
        self.state.lock().holders.get(worker).map_or(0, |(epoch, _)| *epoch)
    }

    fn board_of<'a>(&self, state: &'a State, host: &HostId) -> Option<&'a Published> {
        if *host == self.own_host {
            return Some(&state.own);
        }
        state.views.get(host).map(|view| &view.board)
    }

    /// Workers that answer and are on their way out.
    pub fn leaving(&self) -> Vec<WorkerId> {
        let state = self.state.lock();
        let mut leaving = Vec::new();
        for (worker, (epoch, host)) in &state.holders {
            let fact = self.board_of(&state, host).and_then(|board| worker_in(board, worker));
            if fact.is_some_and(|fact| fact.epoch == *epoch && fact.leaving && fact.reachable) {
                leaving.push(worker.clone());
            }
        }
        leaving
    }

    /// Every worker with its holder and fact.
    pub fn workers(&self) -> Vec<(WorkerId, HostId, WorkerFact)> {
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
    pub fn tasks(&self) -> Vec<(Id, Attempt, TaskFact)> {
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
    ///
    /// `shown` is where the attempt was last told of. Facts that are older than that say nothing: neither those
    /// of an earlier holder, nor those that the same holder published before.
    pub fn is_missing(&self, worker: &WorkerId, task: &Id, attempt: Attempt, shown: Option<&VisibleFrom>) -> bool {
        let state = self.state.lock();
        let Some((epoch, host)) = state.holders.get(worker) else { return false };
        let Some(board) = self.board_of(&state, host) else { return false };
        let Some(held) = worker_in(board, worker) else { return false };
        if held.epoch != *epoch || !held.reachable {
            return false;
        }
        if let Some(shown) = shown {
            let same_hold = shown.epoch == *epoch;
            if shown.epoch > *epoch || (same_hold && board.version() < shown.version) {
                return false;
            }
        }
        board.get(&FactKey::Task(task.clone(), attempt)).is_none()
    }
}

/// Where an attempt was told of: by the holder of this epoch, in its facts from this version on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VisibleFrom {
    /// Epoch of the hold.
    pub epoch: Epoch,
    /// Version of the holder's facts that shows it.
    pub version: Version,
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
