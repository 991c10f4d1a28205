//! The outcome of adding a request to the waiting queue.

use crate::RouteRefusal;
use crate::WaitingEntry;

/// The outcome of adding a request to a [`WaitingQueue`](crate::WaitingQueue). The
/// returned entries were not run.
#[derive(Debug, PartialEq, Eq)]
pub enum QueueOutcome<T> {
    /// The request was queued.
    Queued,
    /// The request was queued, and this less important entry was removed to make room.
    Shed(WaitingEntry<T>),
    /// The request was not queued, for this reason.
    Refused(WaitingEntry<T>, RouteRefusal),
}
