//! What became of a ledger that a holder was given.

/// What became of a ledger that a holder was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The ledger is newer and now the holder's.
    Applied,
    /// The holder already has this ledger or a newer one.
    Known,
    /// The holder was removed: it holds nothing more and never will.
    Removed,
}
