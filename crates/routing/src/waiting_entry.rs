//! An entry of the waiting queue.

use sapphirestile_core::MonoTime;

use crate::RequestPriority;

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingEntry<T> {
    /// The priority of the request.
    pub priority: RequestPriority,
    /// The time at which the caller stops waiting for an answer.
    pub deadline: MonoTime,
    /// The request, or a handle that wakes its thread.
    pub item: T,
}
