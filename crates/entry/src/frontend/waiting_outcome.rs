//! Outcome of a query for the length of a queue.

/// Outcome of a query for the number of jobs in a queue that have not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingOutcome {
    /// The number of jobs that the owner last stored.
    Counted(u32),
    /// The store has a count that this version cannot read.
    Unreadable,
    /// The store did not answer before the deadline.
    Unknown,
}
