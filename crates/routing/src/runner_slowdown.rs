//! By how much a runner's requests were slowed.

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;

/// A measurement of one runner's requests against their undisturbed latency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerSlowdown {
    /// The runner.
    pub runner: RunnerName,
    /// How much longer requests took than undisturbed, in thousandths.
    pub slowdown_permille: u64,
    /// How many requests were measured.
    pub requests: u64,
    /// When the first of them may have been answered.
    pub since: MonoTime,
}
