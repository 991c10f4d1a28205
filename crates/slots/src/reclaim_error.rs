//! Reasons why tokens cannot be reclaimed yet.

use sapphirestile_core::DaemonIdentity;

/// The reason why a reclaim is not possible.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReclaimError {
    /// None of the members to remove is in the ledger.
    NothingToRemove,
    /// All members of the ledger would be removed.
    NobodyLeft,
    /// The report of a remaining member on a removed one is missing.
    MissingReport {
        /// The remaining member.
        reporter: DaemonIdentity,
        /// The member to remove.
        closed: DaemonIdentity,
    },
}

impl std::fmt::Display for ReclaimError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NothingToRemove => {
                formatter.write_str("none of the members to remove is in the ledger")
            }
            Self::NobodyLeft => formatter.write_str("all members of the ledger would be removed"),
            Self::MissingReport { reporter, closed } => {
                write!(formatter, "report of {reporter} on {closed} is missing")
            }
        }
    }
}

impl std::error::Error for ReclaimError {}
