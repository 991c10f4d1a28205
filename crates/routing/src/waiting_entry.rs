//! An entry of the waiting queue.

use sapphirestile_core::MonoTime;

use crate::RequestPriority;

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingEntry<T> {
    /// Requests of a higher priority are served first, whatever their deadlines.
    pub priority: RequestPriority,
    /// The time at which the caller stops waiting for an answer.
    pub deadline: MonoTime,
    /// The request, or a handle that wakes its thread.
    pub item: T,
}
