//! A request that waits for a slot.

use sapphirestile_core::MonoTime;

use crate::RequestPriority;

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingEntry<T> {
    /// How important it is.
    pub priority: RequestPriority,
    /// The time at which its caller stops waiting.
    pub deadline: MonoTime,
    /// The request itself, or what wakes its thread.
    pub item: T,
}
