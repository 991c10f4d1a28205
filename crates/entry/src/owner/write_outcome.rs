//! What became of a write.

/// What became of a write of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is stored.
    Stored,
    /// Another daemon owns the jobs now.
    Deposed,
}
