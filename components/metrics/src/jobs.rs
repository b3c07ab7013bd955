//! The metrics of an entry host that serves callers' jobs.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The queue; `none` where no queue has the path.
    pub queue: String,
    /// The workspace; `none` where the queue is public, or the call wasn't let in.
    pub workspace: String,
    /// What was asked: `submit`, `state`, `cancel`, `waiting`, `other`.
    pub call: &'static str,
    /// HTTP status of the answer.
    pub status: u16,
}

/// Labels of a count by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// How it ended.
    pub outcome: &'static str,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Kind of call.
    pub call: &'static str,
    /// `done`, `refused` or `unknown`.
    pub outcome: &'static str,
}

/// All metrics of callers' jobs. Clones share the same values.
#[derive(Clone)]
pub struct JobMetrics {
    /// Callers' requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Seconds from a request's receipt to its answer.
    pub request_seconds: Histogram,
    /// Orders to start, by outcome.
    pub starts: Family<OutcomeLabels, Counter>,
    /// Runs that workers reported as ended, by how.
    pub ends: Family<OutcomeLabels, Counter>,
    /// Workers whose life is over, by how that was learnt.
    pub worker_ends: Family<OutcomeLabels, Counter>,
    /// Workers that were back under their former ids.
    pub worker_restarts: Counter,
    /// Runs that went with their workers: `new` if the worker had never listed them, else `shown`.
    pub lost_runs: Family<OutcomeLabels, Counter>,
    /// Tasks that were given up since their workers went down.
    pub tasks_given_up: Counter,
    /// Jobs that have had nothing running for a while although there is room.
    pub stalled_jobs: Gauge,
    /// Seconds from a job's acceptance to its end.
    pub job_seconds: Histogram,
    /// Seconds that a question to the adviser took, the wait for a free host not counted.
    pub advice_seconds: Histogram,
    /// Questions that wait for a host to ask them.
    pub advice_waiting: Gauge,
    /// Calls to the store.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Seconds that a call to the store took.
    pub store_seconds: Histogram,
    /// Entries in the list of workers that name none.
    pub unusable_worker_entries: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Term of this host's reign; 0 while another host leads.
    pub leader_term: Gauge,
    /// Workers that the leader holds.
    pub held_workers: Gauge,
    /// Jobs that haven't ended.
    pub live_jobs: Gauge,
    /// Milliseconds since the leader last knew that it leads.
    pub leader_unconfirmed_ms: Gauge,
}

/// From 1 ms to 65 s.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

impl Default for JobMetrics {
    fn default() -> Self {
        JobMetrics {
            requests: Family::default(),
            request_seconds: seconds_histogram(),
            starts: Family::default(),
            ends: Family::default(),
            worker_ends: Family::default(),
            worker_restarts: Counter::default(),
            lost_runs: Family::default(),
            tasks_given_up: Counter::default(),
            stalled_jobs: Gauge::default(),
            job_seconds: seconds_histogram(),
            advice_seconds: seconds_histogram(),
            advice_waiting: Gauge::default(),
            store_calls: Family::default(),
            store_seconds: seconds_histogram(),
            unusable_worker_entries: Gauge::default(),
            config_version: Gauge::default(),
            leader_term: Gauge::default(),
            held_workers: Gauge::default(),
            live_jobs: Gauge::default(),
            leader_unconfirmed_ms: Gauge::default(),
        }
    }
}

impl JobMetrics {
    /// Registers all metrics under the prefix `walkhook`.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("walkhook");
        registry.register("job_requests", "Callers' requests by queue, call and status", self.requests.clone());
        registry.register("job_request_seconds", "From receipt to answer", self.request_seconds.clone());
        registry.register("job_starts", "Orders to start by outcome", self.starts.clone());
        registry.register("job_ends", "Ends of runs by how", self.ends.clone());
        registry.register("worker_ends", "Workers whose life is over by how it was learnt", self.worker_ends.clone());
        registry.register(
            "worker_restarts",
            "Workers that were back under their former ids",
            self.worker_restarts.clone(),
        );
        registry.register("lost_runs", "Runs that went with their workers, new or shown", self.lost_runs.clone());
        registry.register(
            "tasks_given_up",
            "Tasks given up since their workers went down",
            self.tasks_given_up.clone(),
        );
        registry.register(
            "stalled_jobs",
            "Jobs with nothing running although there is room",
            self.stalled_jobs.clone(),
        );
        registry.register("job_seconds", "From a job's acceptance to its end", self.job_seconds.clone());
        registry.register("advice_seconds", "One question to the adviser", self.advice_seconds.clone());
        registry.register("advice_waiting", "Questions that wait for a host", self.advice_waiting.clone());
        registry.register("store_calls", "Calls to the store by kind and outcome", self.store_calls.clone());
        registry.register("store_seconds", "One call to the store", self.store_seconds.clone());
        registry.register(
            "unusable_worker_entries",
            "Entries that name no worker",
            self.unusable_worker_entries.clone(),
        );
        registry.register("config_version", "Configuration in force", self.config_version.clone());
        registry.register("leader_term", "Term of this host's reign, 0 if it doesn't lead", self.leader_term.clone());
        registry.register("held_workers", "Workers that the leader holds", self.held_workers.clone());
        registry.register("live_jobs", "Jobs that haven't ended", self.live_jobs.clone());
        registry.register(
            "leader_unconfirmed_ms",
            "Since the leader knew that it leads",
            self.leader_unconfirmed_ms.clone(),
        );
        registry
    }

    /// Counts a caller's request.
    pub fn record_request(&self, queue: &str, workspace: &str, call: &'static str, status: u16, took: Duration) {
        self.request_seconds.observe(took.as_secs_f64());
        self.requests
            .get_or_create(&RequestLabels { queue: queue.to_owned(), workspace: workspace.to_owned(), call, status })
            .inc();
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        self.store_seconds.observe(took.as_secs_f64());
        self.store_calls.get_or_create(&StoreCallLabels { call, outcome }).inc();
    }
}
