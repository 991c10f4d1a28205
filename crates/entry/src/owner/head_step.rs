//! What a daemon does about the head row.

/// What a daemon does about the head row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadStep {
    /// The owner is alive, or may be.
    Wait,
    /// The owner no longer writes: claim the row at this revision.
    Claim {
        /// The revision of the row; 0 when there is none.
        revision: u64,
        /// The epoch of the owner before.
        epoch: u64,
    },
}
