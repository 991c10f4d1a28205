//! Validation errors of a ledger.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

/// The reason why a ledger is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerError {
    /// The members are not sorted, or one occurs twice.
    UnsortedMembers,
    /// The grants of this runner do not add up to its slots, or their number differs
    /// from that of the members.
    SumMismatch(RunnerName),
    /// This runner has a grant for a daemon that is not a member.
    UnknownMember(RunnerName, DaemonIdentity),
}

impl std::fmt::Display for LedgerError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnsortedMembers => {
                formatter.write_str("ledger members are not sorted or not unique")
            }
            Self::SumMismatch(runner) => {
                write!(formatter, "grants of {runner} do not add up to its slots")
            }
            Self::UnknownMember(runner, member) => {
                write!(
                    formatter,
                    "{runner} has a grant for {member}, which is not a member"
                )
            }
        }
    }
}

impl std::error::Error for LedgerError {}
