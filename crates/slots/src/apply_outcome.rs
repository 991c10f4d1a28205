//! What became of a ledger that a holder was given.

/// What became of a ledger that a holder was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The ledger is newer and now the holder's.
    Applied,
    /// The holder already has this ledger or a newer one.
    Known,
    /// The ledger is newer and has no such member: the holder has given up what
    /// was free, trades with nobody, and never holds anything again.
    Removed,
}
