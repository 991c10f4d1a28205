//! What a request waits for.

use sapphirestile_core::MonoTime;
use sapphirestile_routing::RequestPriority;

/// What a request waits for, and how long.
#[derive(Clone, Copy, Debug)]
pub struct WaitingWish<'w> {
    /// The service whose slot it needs.
    pub service: &'w str,
    /// Its place before others.
    pub priority: RequestPriority,
    /// When its caller gives up.
    pub deadline: MonoTime,
}
