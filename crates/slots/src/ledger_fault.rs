//! Why a ledger is not valid.

use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;

/// A rule that a ledger breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerFault {
    /// The members are not in order, or one is named twice.
    Order,
    /// The grants of a runner do not add up to its tokens.
    Sum(RunnerName),
    /// A runner has a grant of a daemon that is not a member.
    Stranger(RunnerName, DaemonIdentity),
}

impl std::fmt::Display for LedgerFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Order => formatter.write_str("the members are not in order"),
            Self::Sum(runner) => {
                write!(
                    formatter,
                    "the grants of {runner} do not add up to its tokens"
                )
            }
            Self::Stranger(runner, member) => {
                write!(formatter, "{runner} has a grant of {member}, no member")
            }
        }
    }
}

impl std::error::Error for LedgerFault {}
