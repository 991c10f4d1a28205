//! Result of applying a ledger to a holder.

/// The result of applying a ledger to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The ledger was newer and has been adopted.
    Applied,
    /// The holder already has this generation or a newer one.
    NotNewer,
    /// The ledger is newer and no longer contains this member: the holder has
    /// withdrawn its free tokens, exchanges tokens with no peer, and never gets any
    /// again.
    Removed,
}
