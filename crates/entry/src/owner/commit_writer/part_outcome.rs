//! Outcome of one commit of a batch.

/// What became of one commit of a batch, which is guarded by the ownership row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartOutcome {
    /// It is stored.
    Stored,
    /// It is not stored: this daemon still owns the cell, and another guard failed.
    GuardFailed,
    /// It is not stored: another daemon owns the cell now.
    Deposed,
}
