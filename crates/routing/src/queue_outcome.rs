//! What became of a request that was to wait.

use crate::RouteRefusal;
use crate::WaitingEntry;

/// What became of a request that was to wait. Entries handed back were not run.
#[derive(Debug, PartialEq, Eq)]
pub enum QueueOutcome<T> {
    /// It waits.
    Queued,
    /// It waits, and this less important entry was shed for it.
    Shed(WaitingEntry<T>),
    /// It does not wait.
    Refused(WaitingEntry<T>, RouteRefusal),
}
