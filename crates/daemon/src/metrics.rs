//! The metrics of a daemon.
//!
//! [`DaemonMetrics`] holds the counters, gauges and histograms. [`TrafficLabels`] are the
//! labels of the counters of bytes.

mod daemon_metrics;
mod traffic_labels;

pub use daemon_metrics::DaemonMetrics;
pub use traffic_labels::TrafficLabels;
