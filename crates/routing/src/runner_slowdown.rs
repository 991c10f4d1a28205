//! The measured slowdown of a runner's requests.

use sapphirestile_core::MonoTime;
use sapphirestile_core::RunnerName;

/// The measured slowdown of one runner's requests compared to its baseline latency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerSlowdown {
    /// The name of the runner.
    pub runner: RunnerName,
    /// The excess of the latency over the baseline, in thousandths of the baseline.
    pub slowdown_permille: u64,
    /// The number of requests measured.
    pub requests: u64,
    /// The start of the measurement; the requests were answered after it.
    pub since: MonoTime,
}
