//! Metrics of an entry host, encoded in the text format of Prometheus.

mod jobs;
pub mod queues;

use std::time::Duration;

pub use jobs::{JobMetrics, ListenerLabels, OutcomeLabels};

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a request's outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Class of the request, from the settings.
    pub class: String,
    /// Team that sent the request.
    pub team: String,
    /// `answered`, `not_run`, `unknown` or `refused`.
    pub outcome: &'static str,
}

/// Labels of a histogram by class and team.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// Class of the request, or kind of the workload.
    pub class: String,
    pub team: String,
}

/// Label of a counter by purpose.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UsageLabels {
    /// Purpose of the call, or kind of the traffic.
    pub usage: &'static str,
}

type Histograms<L> = Family<L, Histogram, fn() -> Histogram>;

/// All metrics of a host that serves callers' requests. Clones share their values.
#[derive(Clone)]
pub struct Metrics {
    /// Requests by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Seconds from the receipt of a request to the head of the response.
    pub request_seconds: Histograms<TenantLabels>,
    /// Seconds from the acceptance of a task to its start.
    pub start_seconds: Histograms<TenantLabels>,
    /// Seconds that one placement decision took.
    pub decision_seconds: Histogram,
    /// Calls to the platform by purpose.
    pub platform_calls: Family<UsageLabels, Counter>,
    /// Bytes sent and received between entry hosts.
    pub control_bytes: Family<UsageLabels, Counter>,
    /// Requests that were given up before they were received, by the reason.
    pub unreceived_requests: Family<OutcomeLabels, Counter>,
    /// Connections that were closed for new ones, by listener.
    pub replaced_connections: Family<ListenerLabels, Counter>,
    /// Workers held by this host.
    pub workers: Gauge,
    /// Processor time of this process, in milliseconds.
    pub cpu_milliseconds: Gauge,
    /// Resident memory of this process, in bytes.
    pub resident_bytes: Gauge,
}

/// Histogram with buckets from 50 µs to 14 minutes.
fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_05, 2.0, 25))
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics {
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(seconds_histogram),
            start_seconds: Family::new_with_constructor(seconds_histogram),
            decision_seconds: Histogram::new(exponential_buckets(0.000_000_5, 2.0, 20)),
            platform_calls: Family::default(),
            control_bytes: Family::default(),
            unreceived_requests: Family::default(),
            replaced_connections: Family::default(),
            workers: Gauge::default(),
            cpu_milliseconds: Gauge::default(),
            resident_bytes: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Registers all metrics under the prefix `walkhook`.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("walkhook");
        registry.register("requests", "Requests by class, team and outcome", self.requests.clone());
        registry.register("request_seconds", "From receipt to the answer's head", self.request_seconds.clone());
        registry.register("start_seconds", "From acceptance of a task to its start", self.start_seconds.clone());
        registry.register("decision_seconds", "One placement decision", self.decision_seconds.clone());
        registry.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        registry.register("control_bytes", "Bytes between entry hosts", self.control_bytes.clone());
        registry.register(
            "unreceived_requests",
            "Requests that were given up before they were received, by reason",
            self.unreceived_requests.clone(),
        );
        registry.register(
            "replaced_connections",
            "Connections closed for new ones, by listener",
            self.replaced_connections.clone(),
        );
        registry.register("workers", "Workers held here", self.workers.clone());
        registry.register("cpu_milliseconds", "Processor time of this process", self.cpu_milliseconds.clone());
        registry.register("resident_bytes", "Resident memory of this process", self.resident_bytes.clone());
        registry
    }

    /// Counts bytes sent or received between entry hosts.
    pub fn record_control_bytes(&self, usage: &'static str, bytes: usize) {
        self.control_bytes.get_or_create(&UsageLabels { usage }).inc_by(bytes as u64);
    }

    /// Counts a request that was given up before it was received.
    pub fn record_unreceived_request(&self, outcome: &'static str) {
        self.unreceived_requests.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a connection that was closed for a new one.
    pub fn record_replaced_connection(&self, listener: &'static str) {
        self.replaced_connections.get_or_create(&ListenerLabels { listener }).inc();
    }

    /// Records the end of a request and how long it took.
    pub fn record_request(&self, class: &str, team: &str, outcome: &'static str, took: Duration) {
        let (class, team) = (class.to_owned(), team.to_owned());
        let labels = TenantLabels { class: class.clone(), team: team.clone() };
        self.request_seconds.get_or_create(&labels).observe(took.as_secs_f64());
        self.requests.get_or_create(&RequestLabels { class, team, outcome }).inc();
    }
}

/// Encodes the metrics of a registry as text.
pub fn encode(registry: &Registry) -> String {
    let mut encoded = String::new();
    // Writing to a string can't fail.
    let _ = text::encode(&mut encoded, registry);
    encoded
}
