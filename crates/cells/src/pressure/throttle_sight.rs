//! What a report says of a task's throttle.

use sapphirestile_core::MonoTime;

/// What a worker's report says of one task's throttle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottleSight {
    /// The limit in force, in thousandths of a core; nothing when not throttled.
    pub limit_cpu_milli: Option<u64>,
    /// When the report was asked for.
    pub asked: MonoTime,
}
