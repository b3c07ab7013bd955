//! Replicated state (facts) of workers and attempts: what this host publishes about the workers that it holds, and what
//! the other hosts of the data centre publish about theirs. The holder of a worker is the host that published it with the
//! highest epoch; facts of other hosts about the worker are out of date.
//!
//! Without sockets and clock: callers pass in what peers sent and query the merged state.

use std::collections::HashMap;

use board::{Delta, Version, VersionedMap};
use model::task::{Attempt, Id};
use model::{Epoch, HostId, Incarnation, WorkerId};
use parking_lot::Mutex;
use wire::{Fact, FactKey, TaskFact, WorkerFact};

type Published = VersionedMap<FactKey, Fact>;

struct PeerFacts {
    incarnation: Incarnation,
    board: Published,
}

#[derive(Default)]
struct State {
    own: Published,
    peers: HashMap<HostId, PeerFacts>,
    /// The holder of each worker, with the highest epoch published for it.
    holders: HashMap<WorkerId, (Epoch, HostId)>,
}

/// All facts about the workers of the data centre.
pub struct Facts {
    own_host: HostId,
    state: Mutex<State>,
}

/// A change to a fact that was published by the holder of the worker.
pub enum Change {
    /// The state of a worker changed.
    Worker,
    /// The state of an attempt changed. The flag tells whether its worker is on probation.
    Task(Id, Attempt, TaskFact, bool),
}

impl Facts {
    /// Creates an empty state for the host `own_host`.
    pub fn new(own_host: HostId) -> Facts {
        Facts { own_host, state: Mutex::default() }
    }

    /// Version of the facts published by this host.
    pub fn own_version(&self) -> Version {
        self.state.lock().own.version()
    }

    /// Facts published by this host after the version `since`.
    pub fn own_delta(&self, since: Version) -> Delta<FactKey, Fact> {
        self.state.lock().own.delta(since)
    }

    /// Replaces the published facts about one worker and its attempts in one step. Returns the changes.
    pub fn publish(&self, worker: &WorkerId, fact: WorkerFact, tasks: Vec<(FactKey, Fact)>) -> Vec<Change> {
        let mut state = self.state.lock();
        let stale: Vec<FactKey> = published_tasks(&state.own, worker)
            .filter(|key| !tasks.iter().any(|(current, _)| current == *key))
            .cloned()
            .collect();
        for key in stale {
            state.own.remove(&key);
        }
        let mut changed = Vec::new();
        update_holder(&mut state.holders, worker, fact.epoch, &self.own_host);
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

    /// Withdraws the facts about a worker that this host no longer holds.
    pub fn withdraw(&self, worker: &WorkerId) {
        let mut state = self.state.lock();
        let keys: Vec<FactKey> = published_tasks(&state.own, worker).cloned().collect();
        for key in keys {
            state.own.remove(&key);
        }
        state.own.remove(&FactKey::Worker(worker.clone()));
    }

    /// Whether a peer has facts that have not been pulled yet.
    pub fn is_behind(&self, host: &HostId, incarnation: Incarnation, version: Version) -> bool {
        self.state.lock().peers.get(host).is_none_or(|peer| {
            peer.incarnation < incarnation || (peer.incarnation == incarnation && peer.board.version() < version)
        })
    }

    /// The version after which to pull the facts of a peer; 0 for a new incarnation of it.
    pub fn known_version(&self, host: &HostId, incarnation: Incarnation) -> Version {
        let state = self.state.lock();
        state.peers.get(host).filter(|peer| peer.incarnation == incarnation).map_or(0, |peer| peer.board.version())
    }

    /// Applies facts received from a peer. Returns the changes to the workers that it holds.
    pub fn apply(&self, host: &HostId, incarnation: Incarnation, delta: Delta<FactKey, Fact>) -> Vec<Change> {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let peer = state
            .peers
            .entry(host.clone())
            .and_modify(|peer| {
                if peer.incarnation != incarnation {
                    *peer = PeerFacts { incarnation, board: VersionedMap::default() };
                }
            })
            .or_insert_with(|| PeerFacts { incarnation, board: VersionedMap::default() });
        let items = delta.items.clone();
        if !peer.board.apply(delta) {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for (key, fact, _) in items {
            match (key, fact) {
                (FactKey::Worker(worker), Fact::Worker(fact)) => {
                    update_holder(&mut state.holders, &worker, fact.epoch, host);
                    changed.push(Change::Worker);
                }
                (FactKey::Task(task, attempt), Fact::Task(fact)) => {
                    let Some(worker_fact) = worker_in(&peer.board, &fact.worker) else { continue };
                    let probation = worker_fact.probation;
                    if is_holder(&state.holders, &fact.worker, worker_fact.epoch, host) {
                        changed.push(Change::Task(task, attempt, fact, probation));
                    }
                }
                _ => {}
            }
        }
        changed
    }

    /// The holder of a worker, with the worker's state.
    pub fn holder(&self, worker: &WorkerId) -> Option<(HostId, WorkerFact)> {
        let state = self.state.lock();
        let (epoch, host) = state.holders.get(worker)?;
        let fact = worker_in(self.board_of(&state, host)?, worker)?;
        (fact.epoch == *epoch).then(|| (host.clone(), fact.clone()))
    }

    /// The highest epoch ever published for a worker; 0 if there is none.
    pub fn highest_epoch(&self, worker: &WorkerId) -> Epoch {
        self.state.lock().holders.get(worker).map_or(0, |(epoch, _)| *epoch)
    }

    fn board_of<'a>(&self, state: &'a State, host: &HostId) -> Option<&'a Published> {
        if *host == self.own_host {
            return Some(&state.own);
        }
        state.peers.get(host).map(|peer| &peer.board)
    }

    /// Reachable workers that are leaving, that is, drained or about to be removed.
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

    /// All workers with their holders and states, sorted by name.
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

    /// All attempts, as published by the holders of their workers.
    pub fn tasks(&self) -> Vec<(Id, Attempt, TaskFact)> {
        let state = self.state.lock();
        let peers = state.peers.iter().map(|(host, peer)| (host, &peer.board));
        let mut tasks = Vec::new();
        for (host, board) in peers.chain([(&self.own_host, &state.own)]) {
            for (key, fact) in board.iter() {
                let (FactKey::Task(task, attempt), Fact::Task(fact)) = (key, fact) else { continue };
                let worker_fact = worker_in(board, &fact.worker);
                if worker_fact
                    .is_some_and(|worker_fact| is_holder(&state.holders, &fact.worker, worker_fact.epoch, host))
                {
                    tasks.push((task.clone(), *attempt, fact.clone()));
                }
            }
        }
        tasks
    }

    /// Whether an attempt is certainly missing on a worker. The holder has the complete inventory of the worker, so this is
    /// the case if its facts do not contain the attempt.
    ///
    /// `visible_from` is where the attempt was last known to be published. Older facts are inconclusive, whether from an
    /// earlier holder or from an earlier version of the same holder.
    pub fn is_missing(
        &self,
        worker: &WorkerId,
        task: &Id,
        attempt: Attempt,
        visible_from: Option<&VisibleFrom>,
    ) -> bool {
        let state = self.state.lock();
        let Some((epoch, host)) = state.holders.get(worker) else { return false };
        let Some(board) = self.board_of(&state, host) else { return false };
        let Some(worker_fact) = worker_in(board, worker) else { return false };
        if worker_fact.epoch != *epoch || !worker_fact.reachable {
            return false;
        }
        if let Some(visible_from) = visible_from {
            let same_hold = visible_from.epoch == *epoch;
            if visible_from.epoch > *epoch || (same_hold && board.version() < visible_from.version) {
                return false;
            }
        }
        board.get(&FactKey::Task(task.clone(), attempt)).is_none()
    }
}

/// The first facts that contain an attempt: those of the holder with this epoch, from this version on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VisibleFrom {
    /// Epoch of the hold.
    pub epoch: Epoch,
    /// First version of the holder's facts that contains the attempt.
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

/// Makes `host` the holder if its epoch is the highest so far.
fn update_holder(holders: &mut HashMap<WorkerId, (Epoch, HostId)>, worker: &WorkerId, epoch: Epoch, host: &HostId) {
    let holder = holders.entry(worker.clone()).or_insert_with(|| (epoch, host.clone()));
    if epoch > holder.0 {
        *holder = (epoch, host.clone());
    }
}

fn is_holder(holders: &HashMap<WorkerId, (Epoch, HostId)>, worker: &WorkerId, epoch: Epoch, host: &HostId) -> bool {
    holders.get(worker).is_some_and(|(highest, holder)| *highest == epoch && holder == host)
}
