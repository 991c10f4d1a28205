//! The metrics of a daemon.

use std::sync::atomic::Ordering;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use sapphirestile_jobs::DecisionEvent;
use sapphirestile_jobs::RunCause;
use sapphirestile_serving::ConnectionPanics;

use crate::metrics::OutcomeLabel;

/// The upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.002;

/// The ratio of the bounds of consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;

/// The number of latency buckets.
const BUCKETS: u16 = 12;

/// The metrics of a daemon.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    answers: Family<OutcomeLabel, Counter>,
    answer_seconds: Histogram,
    store_calls: Family<OutcomeLabel, Counter>,
    runs: Family<OutcomeLabel, Counter>,
    questions: Family<OutcomeLabel, Counter>,
    batch_seconds: Histogram,
    owned_epoch: Gauge,
    owned_cells: Gauge,
    config_version: Gauge,
    connection_panics: Counter,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("sapphirestile");
        let latencies =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKETS));
        let metrics = Self {
            answers: Family::default(),
            answer_seconds: latencies(),
            store_calls: Family::default(),
            runs: Family::default(),
            questions: Family::default(),
            batch_seconds: latencies(),
            owned_epoch: Gauge::default(),
            owned_cells: Gauge::default(),
            config_version: Gauge::default(),
            connection_panics: Counter::default(),
            registry: Registry::default(),
        };
        registry.register("answers", "Answers to callers", metrics.answers.clone());
        registry.register(
            "answer_seconds",
            "Time from a caller's request to its answer",
            metrics.answer_seconds.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            metrics.store_calls.clone(),
        );
        registry.register("runs", "Runs assigned and over", metrics.runs.clone());
        registry.register(
            "questions",
            "Questions to the advisor",
            metrics.questions.clone(),
        );
        registry.register(
            "batch_seconds",
            "Time from a batch of the owner until it was stored",
            metrics.batch_seconds.clone(),
        );
        registry.register(
            "owned_epoch",
            "The epoch of the latest ownership, 0 while other daemons own all cells",
            metrics.owned_epoch.clone(),
        );
        registry.register(
            "owned_cells",
            "The number of cells that this daemon owns",
            metrics.owned_cells.clone(),
        );
        registry.register(
            "config_version",
            "The version of the configuration in effect, 0 until there is one",
            metrics.config_version.clone(),
        );
        registry.register(
            "connection_panics",
            "Connections ended by a panic of the HTTP library",
            metrics.connection_panics.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl EntryMetrics {
    /// Counts an answer to a caller and its latency. `outcome` becomes the label.
    pub fn count_answer(&self, outcome: &'static str, took: Duration) {
        self.answers.get_or_create(&OutcomeLabel { outcome }).inc();
        self.answer_seconds.observe(took.as_secs_f64());
    }

    /// Counts a call to the store. `outcome` becomes the label.
    pub fn count_store_call(&self, outcome: &'static str) {
        self.store_calls
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Counts an assignment, the end of a run or a request to the advisor. The end of a job
    /// and what is only logged are not counted.
    pub fn count_decision(&self, decision: &DecisionEvent) {
        let outcome = match decision {
            DecisionEvent::Assigned { .. } => "assigned",
            DecisionEvent::RunEnded { cause, .. } if cause.is_done() => "done",
            DecisionEvent::RunEnded { cause, .. } if cause.is_failure() => "failed",
            DecisionEvent::RunEnded { cause, .. } => outcome_of(*cause),
            DecisionEvent::Advised { good, .. } => return self.count_question(good.is_some()),
            DecisionEvent::JobMoved { .. } => "moved_before_start",
            DecisionEvent::TaskTransferred {
                is_return: true, ..
            } => "returned_to_home",
            DecisionEvent::TaskTransferred { .. } => "delegated_to_cell",
            DecisionEvent::PassedOver { .. }
            | DecisionEvent::TaskDelayed { .. }
            | DecisionEvent::JobWaits { .. }
            | DecisionEvent::StopRequested { .. }
            | DecisionEvent::WorkerRestarted { .. }
            | DecisionEvent::RunsMissing { .. }
            | DecisionEvent::WorkerSilent { .. }
            | DecisionEvent::RunsGivenUp { .. }
            | DecisionEvent::Fenced { .. }
            | DecisionEvent::TaskReceived { .. }
            | DecisionEvent::WaitEnded { .. }
            | DecisionEvent::WaitsRestored { .. }
            | DecisionEvent::JobEnded { .. } => return,
        };
        self.runs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    fn count_question(&self, is_answered: bool) {
        let outcome = if is_answered {
            "answered"
        } else {
            "unanswered"
        };
        self.questions
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Records the time from sending a batch until it was stored.
    pub fn observe_batch(&self, took: Duration) {
        self.batch_seconds.observe(took.as_secs_f64());
    }

    /// Records that this daemon owns another cell, in the given epoch.
    pub fn start_term(&self, epoch: u64) {
        self.owned_cells.inc();
        self.owned_epoch
            .set(i64::try_from(epoch).unwrap_or(i64::MAX));
    }

    /// Records that this daemon no longer owns one of its cells.
    pub fn end_term(&self) {
        let owned_before = self.owned_cells.dec();
        if owned_before <= 1 {
            self.owned_epoch.set(0);
        }
    }

    /// Sets the version of the configuration in effect.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Updates the count of panics, and encodes all metrics in the `OpenMetrics` text format.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use sapphirestile_entry::EntryMetrics;
    ///
    /// let metrics = EntryMetrics::default();
    /// metrics.count_answer("accepted", Duration::from_millis(5));
    /// let text = metrics.text();
    /// assert!(text.contains("sapphirestile_answers_total{outcome=\"accepted\"} 1"));
    /// ```
    #[must_use]
    pub fn text(&self) -> String {
        let panics = ConnectionPanics::of_process().count();
        self.connection_panics
            .inner()
            .store(panics, Ordering::Relaxed);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

const fn outcome_of(cause: RunCause) -> &'static str {
    match cause {
        RunCause::Ended(_) => "ended",
        RunCause::NotShown => "not_shown",
        RunCause::Replaced => "replaced",
        RunCause::Lapsed => "lapsed",
        RunCause::NotTaken(_) => "not_taken",
        RunCause::Withdrawn => "withdrawn",
    }
}
