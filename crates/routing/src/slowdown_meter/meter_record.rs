//! What a meter keeps of one runner.

use crate::slowdown_meter::latency_window::LatencyWindow;
use crate::slowdown_meter::undisturbed_level::UndisturbedLevel;

/// The window and the level of one runner.
#[derive(Clone, Copy, Debug)]
pub struct MeterRecord {
    pub window: LatencyWindow,
    pub level: Option<UndisturbedLevel>,
}
