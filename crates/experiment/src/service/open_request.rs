//! A request at a runner.

use sapphirestile_routing::SlotGuard;

/// A request at a runner.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Holds the slot until the answer.
    pub(super) slot: SlotGuard,
    pub(super) latency_us: u64,
}
