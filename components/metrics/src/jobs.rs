//! Metrics of an entry host that schedules callers' jobs.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::queues;

/// Labels of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Name of the queue; `none` if no queue has the path.
    pub queue: String,
    /// Name of the workspace; `none` if the queue is public or the call was not admitted.
    pub workspace: String,
    /// Kind of request: `submit`, `state`, `cancel`, `waiting` or `other`.
    pub call: &'static str,
    /// HTTP status of the response.
    pub status: u16,
}

/// Labels of an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AcceptedLabels {
    /// Name of the workspace; `none` if the queue is public.
    pub workspace: String,
    /// Whether the job is within its workspace's share: `within` or `excess`.
    pub share: &'static str,
}

/// Label of a counter by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    pub outcome: &'static str,
}

/// Label of a counter by listener.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ListenerLabels {
    pub listener: &'static str,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Kind of call.
    pub call: &'static str,
    /// `done`, `refused` or `unknown`.
    pub outcome: &'static str,
}

/// Label of a metric by queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabels {
    pub queue: String,
}

/// Labels of a decision on a new job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdmissionLabels {
    pub queue: String,
    pub outcome: &'static str,
}

/// All metrics of callers' jobs. Clones share their values.
#[derive(Clone)]
pub struct JobMetrics {
    /// Callers' requests by queue, workspace, kind and status.
    pub requests: Family<RequestLabels, Counter>,
    /// Requests that waited for a confirmed configuration, by the outcome of their admission.
    pub delayed_requests: Family<OutcomeLabels, Counter>,
    /// Requests that were given up before they were received, by the reason.
    pub unreceived_requests: Family<OutcomeLabels, Counter>,
    /// Connections that were closed for new ones, by listener.
    pub replaced_connections: Family<ListenerLabels, Counter>,
    /// Bytes that requests in progress take.
    pub request_memory: Gauge,
    /// Jobs that were refused because the memory for jobs was used up.
    pub jobs_without_memory: Counter,
    /// Bytes that jobs and the log are charged for on the leader.
    pub job_memory: Gauge,
    /// Bytes that they may take.
    pub job_memory_limit: Gauge,
    /// Seconds from the receipt of a request to its response.
    pub request_seconds: Histogram,
    /// Accepted jobs by workspace and share. Only counted where jobs are classified by share.
    pub jobs_accepted: Family<AcceptedLabels, Counter>,
    /// Orders to start a run, by outcome.
    pub starts: Family<OutcomeLabels, Counter>,
    /// Runs that workers reported as ended, by outcome.
    pub ends: Family<OutcomeLabels, Counter>,
    /// Worker incarnations that ended, by how the leader learnt of it.
    pub worker_ends: Family<OutcomeLabels, Counter>,
    /// Workers that restarted under their former id.
    pub worker_restarts: Counter,
    /// Reports of workers that list only a part of their ended runs.
    pub truncated_reports: Counter,
    /// Transactions with parts of the log that the store rejected.
    pub rejected_parts: Counter,
    /// Runs lost with their workers: `shown` if the worker had listed the run before, else `new`.
    pub lost_runs: Family<OutcomeLabels, Counter>,
    /// Tasks given up because their workers went down.
    pub tasks_given_up: Counter,
    /// Jobs that have had no running tasks for a while although resources are free.
    pub stalled_jobs: Gauge,
    /// Decisions on new jobs with overload protection, by queue and outcome.
    pub admissions: Family<AdmissionLabels, Counter>,
    /// Milliseconds that a new job is expected to wait, by queue.
    pub forecast_wait_ms: Family<QueueLabels, Gauge>,
    /// Seconds from a job's acceptance to its end.
    pub job_seconds: Histogram,
    /// Seconds that a request to the adviser took, without the wait for a host that can send it.
    pub advice_seconds: Histogram,
    /// Requests to the adviser that wait for a host that can send them.
    pub advice_waiting: Gauge,
    /// Calls to the store.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Seconds that a call to the store took.
    pub store_seconds: Histogram,
    /// Invalid entries in the list of workers.
    pub unusable_worker_entries: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Term in which this host leads; 0 while it doesn't lead.
    pub leader_term: Gauge,
    /// Workers that the leader holds.
    pub held_workers: Gauge,
    /// Jobs that have not ended.
    pub live_jobs: Gauge,
    /// Seconds that a planning pass of the leader took.
    pub pass_seconds: Histogram,
    /// Waiting units that planning passes examined.
    pub units_examined: Counter,
    /// Waiting units that the last pass left for a later one.
    pub units_deferred: Gauge,
    /// The longest time for which one of these hasn't been examined, in milliseconds.
    pub units_deferred_ms: Gauge,
    /// Seconds that a timer of the leader ran late, which is how long ready work waits for its turn.
    pub scheduling_lag_seconds: Histogram,
    /// Starts that are to be sent or whose answers are outstanding.
    pub starts_under_way: Gauge,
    /// How many of them there may be.
    pub start_window: Gauge,
    /// Milliseconds since the leader's authority was last confirmed.
    pub leader_unconfirmed_ms: Gauge,
    /// Metrics of each queue on the leader.
    pub queues: queues::Metrics,
}

/// Histogram with buckets from 1 ms to 65 s.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// Histogram with buckets from 50 us to 100 ms.
fn pass_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_05, 2.0, 12))
}

impl Default for JobMetrics {
    fn default() -> Self {
        JobMetrics {
            requests: Family::default(),
            delayed_requests: Family::default(),
            unreceived_requests: Family::default(),
            replaced_connections: Family::default(),
            request_memory: Gauge::default(),
            jobs_without_memory: Counter::default(),
            job_memory: Gauge::default(),
            job_memory_limit: Gauge::default(),
            request_seconds: seconds_histogram(),
            jobs_accepted: Family::default(),
            starts: Family::default(),
            ends: Family::default(),
            worker_ends: Family::default(),
            worker_restarts: Counter::default(),
            truncated_reports: Counter::default(),
            rejected_parts: Counter::default(),
            lost_runs: Family::default(),
            tasks_given_up: Counter::default(),
            stalled_jobs: Gauge::default(),
            admissions: Family::default(),
            forecast_wait_ms: Family::default(),
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
            pass_seconds: pass_histogram(),
            units_examined: Counter::default(),
            units_deferred: Gauge::default(),
            units_deferred_ms: Gauge::default(),
            scheduling_lag_seconds: pass_histogram(),
            starts_under_way: Gauge::default(),
            start_window: Gauge::default(),
            leader_unconfirmed_ms: Gauge::default(),
            queues: queues::Metrics::default(),
        }
    }
}

impl JobMetrics {
    /// Registers all metrics under the prefix `walkhook`.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("walkhook");
        registry.register("job_requests", "Callers' requests by queue, call and status", self.requests.clone());
        registry.register(
            "delayed_requests",
            "Requests that waited for a confirmed configuration, by outcome",
            self.delayed_requests.clone(),
        );
        registry.register(
            "unreceived_requests",
            "Requests that were given up before they were received, by reason",
            self.unreceived_requests.clone(),
        );
        registry.register("request_memory_bytes", "Memory of requests in progress", self.request_memory.clone());
        registry.register(
            "jobs_without_memory",
            "Jobs refused because the memory for jobs was used up",
            self.jobs_without_memory.clone(),
        );
        registry.register("job_memory_bytes", "Memory of jobs and the log on the leader", self.job_memory.clone());
        registry.register(
            "job_memory_limit_bytes",
            "Memory that jobs and the log may take",
            self.job_memory_limit.clone(),
        );
        registry.register("job_request_seconds", "From receipt to answer", self.request_seconds.clone());
        registry.register(
            "jobs_accepted",
            "Accepted jobs by workspace and by whether they are within its share",
            self.jobs_accepted.clone(),
        );
        registry.register("job_starts", "Orders to start by outcome", self.starts.clone());
        registry.register("job_ends", "Ends of runs by how", self.ends.clone());
        registry.register("worker_ends", "Workers whose life is over by how it was learnt", self.worker_ends.clone());
        registry.register(
            "worker_restarts",
            "Workers that were back under their former ids",
            self.worker_restarts.clone(),
        );
        registry.register(
            "truncated_reports",
            "Workers' reports that list only a part of the ended runs",
            self.truncated_reports.clone(),
        );
        registry.register(
            "rejected_parts",
            "Transactions with parts of the log that the store rejected",
            self.rejected_parts.clone(),
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
        registry.register("admissions", "Decisions on new jobs by queue and outcome", self.admissions.clone());
        registry.register("forecast_wait_ms", "Expected wait of a new job by queue", self.forecast_wait_ms.clone());
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
        registry.register("pass_seconds", "One planning pass of the leader", self.pass_seconds.clone());
        registry.register("units_examined", "Waiting units that passes examined", self.units_examined.clone());
        registry.register("units_deferred", "Waiting units left for a later pass", self.units_deferred.clone());
        registry.register(
            "units_deferred_ms",
            "The longest that one of these hasn't been examined",
            self.units_deferred_ms.clone(),
        );
        registry.register(
            "scheduling_lag_seconds",
            "How late a timer of the leader ran",
            self.scheduling_lag_seconds.clone(),
        );
        registry.register("starts_under_way", "Starts without an answer", self.starts_under_way.clone());
        registry.register("start_window", "How many starts may be under way", self.start_window.clone());
        registry.register(
            "leader_unconfirmed_ms",
            "Since the leader knew that it leads",
            self.leader_unconfirmed_ms.clone(),
        );
        self.queues.register(&mut registry);
        registry
    }

    /// Records a caller's request and how long it took.
    pub fn record_request(&self, queue: &str, workspace: &str, call: &'static str, status: u16, took: Duration) {
        self.request_seconds.observe(took.as_secs_f64());
        self.requests
            .get_or_create(&RequestLabels { queue: queue.to_owned(), workspace: workspace.to_owned(), call, status })
            .inc();
    }

    /// Records an accepted job.
    pub fn record_accepted(&self, workspace: Option<&str>, share: &'static str) {
        let workspace = workspace.unwrap_or("none").to_owned();
        self.jobs_accepted.get_or_create(&AcceptedLabels { workspace, share }).inc();
    }

    /// Counts a decision on a new job.
    pub fn record_admission(&self, queue: &str, outcome: &'static str) {
        self.admissions.get_or_create(&AdmissionLabels { queue: queue.to_owned(), outcome }).inc();
    }

    /// Sets the expected wait of a new job of a queue.
    pub fn set_forecast_wait(&self, queue: &str, wait: Duration) {
        self.forecast_wait_ms.get_or_create(&QueueLabels { queue: queue.to_owned() }).set(wait.as_millis() as i64);
    }

    /// Records a call to the store and how long it took.
    pub fn record_store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        self.store_seconds.observe(took.as_secs_f64());
        self.store_calls.get_or_create(&StoreCallLabels { call, outcome }).inc();
    }
}
