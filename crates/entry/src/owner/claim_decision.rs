//! Whether to claim the ownership.

/// Whether to claim the ownership, as told by the latest read of the ownership row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Do not claim: the owner is or may be alive.
    Wait,
    /// Claim the row at this revision: the owner has failed or released it.
    Claim {
        /// The revision of the row; 0 when there is none.
        revision: u64,
        /// The epoch of the previous owner; 0 when there was none.
        epoch: u64,
    },
}
