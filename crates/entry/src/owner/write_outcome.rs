//! Outcome of storing a batch.

/// Outcome of storing a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch is stored.
    Stored,
    /// The batch is not stored as a whole: another daemon owns the jobs now.
    Deposed,
}
