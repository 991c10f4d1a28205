//! What came of a stop.

/// What came of an order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run ends, and never starts if it had not.
    Accepted,
    /// Another owner with a higher epoch was there.
    Fenced,
    /// There was no such answer.
    Unknown,
}
