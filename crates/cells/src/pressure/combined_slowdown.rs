//! The slowdown beside a worker, as several daemons measured it.

use sapphirestile_core::MonoTime;

/// Samples of several daemons, weighed by their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CombinedSlowdown {
    /// When the earliest of the measurements began.
    pub measured: MonoTime,
    /// How much longer requests took than undisturbed, in thousandths.
    pub slowdown_permille: u64,
    /// How many requests were measured.
    pub requests: u64,
    /// How many daemons measured them.
    pub daemons: u32,
}

impl std::fmt::Display for CombinedSlowdown {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "requests beside it took {} thousandths longer ({} requests, {} daemons)",
            self.slowdown_permille, self.requests, self.daemons
        )
    }
}
