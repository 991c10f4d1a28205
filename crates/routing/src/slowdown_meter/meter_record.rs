//! The state of a slowdown meter for one runner.

use crate::slowdown_meter::baseline_latency::BaselineLatency;
use crate::slowdown_meter::latency_window::LatencyWindow;

/// The state of a slowdown meter for one runner.
#[derive(Clone, Copy, Debug)]
pub struct MeterRecord {
    /// The answers since the last measurement.
    pub window: LatencyWindow,
    /// The baseline latency; `None` before the first measurement.
    pub baseline: Option<BaselineLatency>,
}
