//! Metrics of a daemon.

mod daemon_metrics;

pub use daemon_metrics::DaemonMetrics;
