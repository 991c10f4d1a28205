//! The metrics of a daemon.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::context::DaemonContext;
use crate::metrics::TrafficLabels;
use crate::serving::ConnectionPanics;
use sapphirestile_core::ServiceName;
use sapphirestile_routing::ByteCounters;
use sapphirestile_routing::RouteReach;

const LATENCY_FIRST_BUCKET_S: f64 = 0.001;
const LATENCY_BUCKETS: u16 = 14;
const REACH_LABELS: [(RouteReach, &str); 3] = [
    (RouteReach::Zone, "zone"),
    (RouteReach::Region, "region"),
    (RouteReach::Remote, "remote"),
];

/// The metrics of a daemon, each registered under its public name.
pub struct DaemonMetrics {
    registry: Registry,
    /// The duration of requests that runners answered, in seconds.
    pub request_seconds: Histogram,
    /// Requests that runners answered.
    pub answered: Counter,
    /// Requests that were refused and certainly not run.
    pub not_run: Counter,
    /// Requests without a known outcome: the request, or an earlier one with the same
    /// idempotency key, may have run.
    pub unknown: Counter,
    /// Batch tasks that finished their work.
    pub tasks_finished: Counter,
    /// Batch tasks that failed and are not started again.
    pub tasks_failed: Counter,
    /// Attempts of batch tasks started on workers.
    pub starts: Counter,
    /// Running attempts of batch tasks that were evicted from their worker.
    pub evictions: Counter,
    /// Decisions to throttle a batch task because it slows down a service.
    pub throttles: Counter,
    /// Batch tasks that are currently throttled, in the cells that this daemon owns.
    pub throttled_tasks: Gauge,
    /// Bytes of slowdown reports sent to the owners of cells.
    pub slowdown_bytes: Counter,
    connection_panics: Counter,
    request_bytes: Family<TrafficLabels, Counter>,
    owned_cells: Gauge,
    revision: Gauge<u64, AtomicU64>,
    store_silent_ms: Gauge<u64, AtomicU64>,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(LATENCY_FIRST_BUCKET_S, 2.0, LATENCY_BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("sapphirestile"),
            request_seconds: Histogram::new(buckets),
            answered: Counter::default(),
            not_run: Counter::default(),
            unknown: Counter::default(),
            tasks_finished: Counter::default(),
            tasks_failed: Counter::default(),
            starts: Counter::default(),
            evictions: Counter::default(),
            throttles: Counter::default(),
            throttled_tasks: Gauge::default(),
            slowdown_bytes: Counter::default(),
            connection_panics: Counter::default(),
            request_bytes: Family::default(),
            owned_cells: Gauge::default(),
            revision: Gauge::default(),
            store_silent_ms: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl DaemonMetrics {
    /// Updates the gauges and byte counters from `context`, and encodes all metrics as
    /// `OpenMetrics` text.
    #[must_use]
    pub fn encode(&self, context: &DaemonContext) -> String {
        let owned = context.cells.load().owned().len();
        self.owned_cells
            .set(i64::try_from(owned).unwrap_or(i64::MAX));
        self.revision.set(context.document.load().revision().get());
        self.store_silent_ms
            .set(context.store_contact.silent_ms(context.clock.now()));
        let panics = ConnectionPanics::of_process().count();
        self.connection_panics
            .inner()
            .store(panics, Ordering::Relaxed);
        for (service, traffic) in context.traffic.rows().iter() {
            self.update_byte_counters(service, "sent", &traffic.sent);
            self.update_byte_counters(service, "received", &traffic.received);
        }
        let mut text = String::new();
        // Writing to a string does not fail.
        let _written = encode(&mut text, &self.registry);
        text
    }

    fn update_byte_counters(
        &self,
        service: &ServiceName,
        direction: &'static str,
        counters: &ByteCounters,
    ) {
        for (reach, name) in REACH_LABELS {
            let labels = TrafficLabels {
                service: service.to_string(),
                reach: name,
                direction,
            };
            let counter = self.request_bytes.get_or_create(&labels);
            counter
                .inner()
                .store(counters.bytes(reach), Ordering::Relaxed);
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "request_seconds",
            "Answered requests",
            self.request_seconds.clone(),
        );
        registry.register(
            "requests_answered",
            "Requests answered",
            self.answered.clone(),
        );
        registry.register("requests_not_run", "Requests not run", self.not_run.clone());
        registry.register(
            "requests_unknown",
            "Requests without outcome",
            self.unknown.clone(),
        );
        registry.register(
            "tasks_finished",
            "Tasks finished",
            self.tasks_finished.clone(),
        );
        registry.register("tasks_failed", "Tasks failed", self.tasks_failed.clone());
        registry.register("starts", "Attempts started", self.starts.clone());
        registry.register(
            "evictions",
            "Attempts asked to leave",
            self.evictions.clone(),
        );
        registry.register("throttles", "Throttles decided", self.throttles.clone());
        registry.register(
            "throttled_tasks",
            "Tasks throttled now",
            self.throttled_tasks.clone(),
        );
        registry.register(
            "slowdown_sent_bytes",
            "Slowdowns told to owners of cells",
            self.slowdown_bytes.clone(),
        );
        registry.register(
            "request_bytes",
            "Bytes of requests and answers",
            self.request_bytes.clone(),
        );
        registry.register(
            "connection_panics",
            "Connections ended by a panic of the HTTP library",
            self.connection_panics.clone(),
        );
        registry.register("owned_cells", "Cells owned", self.owned_cells.clone());
        registry.register(
            "config_revision",
            "Revision in force",
            self.revision.clone(),
        );
        let gauge = self.store_silent_ms.clone();
        registry.register("store_silent_ms", "Silence of the store", gauge);
    }
}
