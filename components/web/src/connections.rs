//! Open connections of a listener. When there are as many as allowed, the one that has been waiting longest for its client
//! is closed for a new one, so that clients that don't complete their requests can't keep out others.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::lock;

/// Called with the time for which a connection had been waiting when it is closed for a new one.
type Report = Box<dyn Fn(Duration) + Send + Sync>;

/// The open connections of a listener.
pub struct Connections {
    max: usize,
    state: Mutex<State>,
    /// Notified when a connection is closed or begins to wait.
    changed: Notify,
    report: Report,
}

#[derive(Default)]
struct State {
    open: usize,
    /// Connections that were asked to close and are still open.
    closing: usize,
    /// Order of the next connection that begins to wait.
    next: u64,
    /// Connections that wait for their clients, oldest first.
    waiting: BTreeMap<u64, Waiting>,
}

struct Waiting {
    since: Instant,
    close: Arc<Close>,
}

/// Request to a connection to close.
#[derive(Default)]
struct Close {
    requested: AtomicBool,
    notify: Notify,
}

impl Connections {
    /// Allows at most `max` open connections.
    pub fn new(max: usize) -> Arc<Connections> {
        Connections::reporting(max, |_| {})
    }

    /// Like [`Connections::new`]. `report` is called when a connection is closed for a new one, with the time for which it
    /// had been waiting for its client.
    pub fn reporting(max: usize, report: impl Fn(Duration) + Send + Sync + 'static) -> Arc<Connections> {
        Arc::new(Connections {
            max: max.max(1),
            state: Mutex::default(),
            changed: Notify::new(),
            report: Box::new(report),
        })
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        lock(&self.state).open
    }

    /// Admits a new connection, if necessary in place of another one. Waits while every connection has a request in
    /// progress.
    pub(crate) async fn admit(self: &Arc<Self>) -> Arc<Connection> {
        while !self.try_admit() {
            self.changed.notified().await;
        }
        let connection =
            Arc::new(Connection { connections: self.clone(), close: Arc::default(), place: Mutex::new(None) });
        connection.wait();
        connection
    }

    fn try_admit(&self) -> bool {
        let mut state = lock(&self.state);
        if state.open < self.max {
            state.open += 1;
            return true;
        }
        if state.open - state.closing < self.max {
            return false;
        }
        let Some((_, oldest)) = state.waiting.pop_first() else { return false };
        state.closing += 1;
        drop(state);
        oldest.close.requested.store(true, Ordering::Release);
        oldest.close.notify.notify_one();
        (self.report)(oldest.since.elapsed());
        false
    }
}

/// One open connection.
pub(crate) struct Connection {
    connections: Arc<Connections>,
    close: Arc<Close>,
    /// Its place among the waiting connections, unless a request is in progress.
    place: Mutex<Option<u64>>,
}

impl Connection {
    /// Records that it waits for its client from now on: for the next request, or for the rest of one.
    pub(crate) fn wait(&self) {
        let mut place = lock(&self.place);
        if place.is_some() || self.close.requested.load(Ordering::Acquire) {
            return;
        }
        let mut state = lock(&self.connections.state);
        let order = state.next;
        state.next += 1;
        state.waiting.insert(order, Waiting { since: Instant::now(), close: self.close.clone() });
        *place = Some(order);
        drop(state);
        self.connections.changed.notify_one();
    }

    /// Records that a complete request is in progress.
    pub(crate) fn begin_request(&self) {
        if let Some(order) = lock(&self.place).take() {
            lock(&self.connections.state).waiting.remove(&order);
        }
    }

    /// Completes when the connection is to be closed for a new one.
    pub(crate) async fn close_requested(&self) {
        self.close.notify.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let place = self.place.get_mut().unwrap_or_else(PoisonError::into_inner).take();
        let mut state = lock(&self.connections.state);
        state.open -= 1;
        if let Some(order) = place {
            state.waiting.remove(&order);
        }
        if self.close.requested.load(Ordering::Acquire) {
            state.closing -= 1;
        }
        drop(state);
        self.connections.changed.notify_one();
    }
}
