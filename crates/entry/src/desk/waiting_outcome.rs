//! How many jobs wait.

/// How many jobs of a queue have not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingOutcome {
    /// So many.
    Counted(u32),
    /// The store does not answer.
    Unknown,
}
