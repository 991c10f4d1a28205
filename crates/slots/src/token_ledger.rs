//! What the store holds of the tokens.

use serde::Deserialize;
use serde::Serialize;

use crate::LedgerDraft;
use crate::LedgerFault;
use crate::LedgerGeneration;
use crate::RunnerGrant;
use crate::packed_ledger::PackedLedger;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

/// The members and, for each runner, the tokens that each began with.
///
/// It is written with each member named once, and checked when it is read.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_slots::TokenLedger;
///
/// let member = DaemonIdentity {
///     daemon: DaemonName::try_from("vm-1").unwrap(),
///     incarnation: IncarnationNumber::new(4),
/// };
/// let runner = RunnerName::try_from("runner-1").unwrap();
/// let mut draft = TokenLedger::default().draft();
/// draft.add_member(&member);
/// draft.size_runner(&runner, 8);
/// let ledger = draft.finish();
/// assert_eq!(ledger.runners.get("runner-1").unwrap().of(&member).base, 8);
/// assert_eq!(ledger.check(), Ok(()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "PackedLedger", into = "PackedLedger")]
pub struct TokenLedger {
    /// The number of this ledger.
    pub generation: LedgerGeneration,
    /// How many ledgers up to this one granted tokens of removed members.
    pub reclaims: u64,
    /// The members, in order.
    pub members: Vec<DaemonIdentity>,
    /// The tokens of each runner.
    pub runners: SortedTable<RunnerName, RunnerGrant>,
}

impl TokenLedger {
    /// Begins the next ledger.
    #[must_use]
    pub fn draft(&self) -> LedgerDraft {
        LedgerDraft::new(self)
    }

    /// Whether `identity` is a member.
    #[must_use]
    pub fn has_member(&self, identity: &DaemonIdentity) -> bool {
        self.members.binary_search(identity).is_ok()
    }

    /// Checks a ledger that was read.
    ///
    /// # Errors
    ///
    /// The first rule that the ledger breaks.
    pub fn check(&self) -> Result<(), LedgerFault> {
        for (runner, grant) in self.runners.iter() {
            let stranger = grant.members.keys().find(|member| !self.has_member(member));
            if let Some(stranger) = stranger {
                return Err(LedgerFault::Stranger(runner.clone(), stranger.clone()));
            }
            if !grant.adds_up() {
                return Err(LedgerFault::Sum(runner.clone()));
            }
        }
        Ok(())
    }
}
