//! Throttles as workers report them.

use sapphirestile_core::MonoTime;

/// The throttle of one task as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedThrottle {
    /// The limit in force, in thousandths of a core; `None` when not throttled.
    pub limit_cpu_milli: Option<u64>,
    /// When the report was requested.
    pub asked: MonoTime,
}
