//! The parameters of a wait for a slot.

use sapphirestile_core::MonoTime;
use sapphirestile_routing::RequestPriority;

/// The parameters with which a request waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct WaitParameters<'w> {
    /// The service of which a slot is needed.
    pub service: &'w str,
    /// The priority, which decides the order in the queue before the deadline does.
    pub priority: RequestPriority,
    /// The time at which the request stops waiting.
    pub deadline: MonoTime,
}
