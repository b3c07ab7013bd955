//! Metrics of each queue on the host that leads.
//!
//! They exist only while the host leads and the leader knows the queue. Counters begin at 0 in each term, which readers
//! of counters treat like a restart of the process.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::jobs::QueueLabels;

/// Current load of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Name of the queue.
    pub queue: String,
    /// Cores of its runs that are, or may be, on workers.
    pub cores: f64,
    /// Tasks that wait for a worker.
    pub waiting_tasks: usize,
}

/// Metrics of all queues. Clones share their values.
#[derive(Clone, Default)]
pub struct Metrics {
    cores: Family<QueueLabels, Gauge<f64, AtomicU64>>,
    waiting_tasks: Family<QueueLabels, Gauge>,
    advice_questions: Family<QueueLabels, Counter>,
    advice_tickets: Family<QueueLabels, Counter>,
    starts: Family<QueueLabels, Counter>,
    shown: Arc<Mutex<Shown>>,
}

/// What the metrics show. Its lock is held during each update, because tasks of an ended term may still update.
#[derive(Default)]
struct Shown {
    /// The newest term that has updated the metrics.
    term: u64,
    /// Whether that term has ended.
    ended: bool,
    /// Queues with metrics.
    queues: BTreeSet<String>,
}

impl Metrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("queue_cores", "Cores of runs that are or may be on workers", self.cores.clone());
        registry.register("queue_waiting_tasks", "Tasks that wait for a worker", self.waiting_tasks.clone());
        registry.register("advice_questions", "Questions to the adviser that ended", self.advice_questions.clone());
        registry.register("advice_tickets", "Tickets in the adviser's answers", self.advice_tickets.clone());
        registry.register("queue_starts", "Runs that workers confirmed to have started", self.starts.clone());
    }

    /// Shows the loads of all queues of a term's leader, and removes the metrics of all others.
    pub fn show(&self, term: u64, loads: Vec<Load>) {
        let mut shown = self.shown.lock();
        if !self.enter(&mut shown, term) {
            return;
        }
        let listed: BTreeSet<String> = loads.iter().map(|load| load.queue.clone()).collect();
        shown.queues.difference(&listed).for_each(|queue| self.remove(queue));
        shown.queues = listed;
        for load in loads {
            let labels = QueueLabels { queue: load.queue };
            self.cores.get_or_create(&labels).set(load.cores);
            self.waiting_tasks.get_or_create(&labels).set(load.waiting_tasks as i64);
            // Counters are visible from the start, so that their first increase is.
            for family in self.counters() {
                family.get_or_create(&labels).inc_by(0);
            }
        }
    }

    /// Removes the gauges while it isn't certain that this host leads.
    pub fn hide_gauges(&self, term: u64) {
        let shown = self.shown.lock();
        if shown.term == term {
            self.cores.clear();
            self.waiting_tasks.clear();
        }
    }

    /// Removes all metrics at the end of a term. Later updates for it are ignored.
    pub fn end(&self, term: u64) {
        let mut shown = self.shown.lock();
        if self.enter(&mut shown, term) {
            self.clear(&mut shown);
            shown.ended = true;
        }
    }

    /// Counts a question to the adviser that has ended, with the number of tickets in the answer.
    pub fn record_question(&self, term: u64, queue: &str, tickets: usize) {
        self.count(&self.advice_questions, term, queue, 1);
        self.count(&self.advice_tickets, term, queue, tickets as u64);
    }

    /// Counts a run that a worker confirmed to have started.
    pub fn record_start(&self, term: u64, queue: &str) {
        self.count(&self.starts, term, queue, 1);
    }

    /// Increases a counter of a queue. If the leader doesn't know the queue any more, the next update removes it.
    fn count(&self, family: &Family<QueueLabels, Counter>, term: u64, queue: &str, by: u64) {
        let mut shown = self.shown.lock();
        if !self.enter(&mut shown, term) {
            return;
        }
        if !shown.queues.contains(queue) {
            shown.queues.insert(queue.to_owned());
        }
        family.get_or_create(&QueueLabels { queue: queue.to_owned() }).inc_by(by);
    }

    /// Whether a term may update the metrics. The first update of a term removes those of earlier ones.
    fn enter(&self, shown: &mut Shown, term: u64) -> bool {
        if term > shown.term {
            self.clear(shown);
            *shown = Shown { term, ..Shown::default() };
        }
        term == shown.term && !shown.ended
    }

    fn clear(&self, shown: &mut Shown) {
        shown.queues.clear();
        self.cores.clear();
        self.waiting_tasks.clear();
        self.counters().into_iter().for_each(Family::clear);
    }

    fn counters(&self) -> [&Family<QueueLabels, Counter>; 3] {
        [&self.advice_questions, &self.advice_tickets, &self.starts]
    }

    fn remove(&self, queue: &str) {
        let labels = QueueLabels { queue: queue.to_owned() };
        self.cores.remove(&labels);
        self.waiting_tasks.remove(&labels);
        for family in self.counters() {
            family.remove(&labels);
        }
    }
}
