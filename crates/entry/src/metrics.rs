//! Counters and latencies.
//!
//! [`EntryMetrics`] are counted where things happen; a [`MetricsService`] tells them
//! as text.

mod entry_metrics;
mod metrics_service;
mod outcome_label;

pub use entry_metrics::EntryMetrics;
pub use metrics_service::MetricsService;
pub use outcome_label::OutcomeLabel;
