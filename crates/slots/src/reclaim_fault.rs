//! Why tokens cannot be reclaimed yet.

use sapphirestile_core::DaemonIdentity;

/// What a reclaim still lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReclaimFault {
    /// None of the members to remove is in the ledger any more.
    NothingToRemove,
    /// No member would be left.
    NobodyLeft,
    /// A member that stays has not reported on one that goes.
    MissingReport {
        /// The member that stays.
        reporter: DaemonIdentity,
        /// The member that goes.
        closed: DaemonIdentity,
    },
}

impl std::fmt::Display for ReclaimFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NothingToRemove => formatter.write_str("no member is to be removed"),
            Self::NobodyLeft => formatter.write_str("no member would be left"),
            Self::MissingReport { reporter, closed } => {
                write!(formatter, "{reporter} has not reported on {closed}")
            }
        }
    }
}

impl std::error::Error for ReclaimFault {}
