//! Slowdown next to a worker, combined over daemons.

use sapphirestile_core::MonoTime;

/// Samples of several daemons, weighted by their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CombinedSlowdown {
    /// Start of the earliest of the measurements.
    pub measured: MonoTime,
    /// How much longer requests took than undisturbed, in thousandths of that time.
    pub slowdown_permille: u64,
    /// Number of requests measured.
    pub requests: u64,
    /// Number of daemons that measured.
    pub daemons: u32,
}

impl std::fmt::Display for CombinedSlowdown {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "requests next to it took {} permille longer ({} requests, {} daemons)",
            self.slowdown_permille, self.requests, self.daemons
        )
    }
}
