//! Metrics of a daemon.

mod daemon_metrics;
mod traffic_labels;

pub use daemon_metrics::DaemonMetrics;
pub use traffic_labels::TrafficLabels;
