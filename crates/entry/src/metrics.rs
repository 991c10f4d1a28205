//! Counters and latency histograms.
//!
//! [`EntryMetrics`] holds the metrics; a [`MetricsService`] serves them over HTTP.

mod entry_metrics;
mod metrics_service;
mod outcome_label;

pub use entry_metrics::EntryMetrics;
pub use metrics_service::MetricsService;
pub use outcome_label::OutcomeLabel;
