//! Steps of crashes with their times.

use crate::crash_step::CrashStep;

/// A step of a crash and its time.
#[derive(Clone, Copy, Debug)]
pub struct TimedStep {
    /// The time since the start of the series, in milliseconds.
    pub at_ms: u64,
    pub step: CrashStep,
}
