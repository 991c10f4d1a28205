//! A request that a runner is handling.

use sapphirestile_routing::SlotGuard;

/// A request that a runner is handling.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    /// The slot on the runner, taken until the answer.
    pub(super) slot: SlotGuard,
    /// The latency, fixed when the request arrives.
    pub(super) latency_us: u64,
}
