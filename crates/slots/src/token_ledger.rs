//! Record of all tokens in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::LedgerDraft;
use crate::LedgerError;
use crate::LedgerGeneration;
use crate::RunnerGrant;
use crate::packed_ledger::PackedLedger;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::RunnerName;
use sapphirestile_core::SortedTable;

/// The members and the tokens of each runner that were granted to them.
///
/// Tokens handed over between members are not recorded here. The serialized form
/// contains each member's identity once and is validated when it is read.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_slots::TokenLedger;
///
/// let member = DaemonIdentity {
///     daemon: DaemonName::try_from("vm-1").unwrap(),
///     incarnation: IncarnationNumber::new(4),
/// };
/// let runner = RunnerName::try_from("runner-1").unwrap();
/// let mut draft = TokenLedger::default().draft();
/// draft.add_member(&member);
/// draft.raise_slots(&runner, 8);
/// let ledger = draft.finish();
/// assert_eq!(ledger.runners.get("runner-1").unwrap().of(&member).base, 8);
/// assert_eq!(ledger.check(), Ok(()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "PackedLedger", into = "PackedLedger")]
pub struct TokenLedger {
    /// The version of this ledger.
    pub generation: LedgerGeneration,
    /// The number of ledgers up to this one that granted tokens of removed members.
    pub reclaims: u64,
    /// The members, sorted and without duplicates.
    pub members: Vec<DaemonIdentity>,
    /// The grants of each runner.
    pub runners: SortedTable<RunnerName, RunnerGrant>,
}

impl TokenLedger {
    /// Starts a draft of the next ledger.
    #[must_use]
    pub fn draft(&self) -> LedgerDraft {
        LedgerDraft::new(self)
    }

    /// Whether `identity` is a member; another incarnation of the same daemon is not.
    #[must_use]
    pub fn has_member(&self, identity: &DaemonIdentity) -> bool {
        self.members.binary_search(identity).is_ok()
    }

    /// Validates the grants.
    ///
    /// # Errors
    ///
    /// The first error found: a grant for a daemon that is not a member, or grants that
    /// do not add up.
    pub fn check(&self) -> Result<(), LedgerError> {
        for (runner, grant) in self.runners.iter() {
            let unknown = grant.members.keys().find(|member| !self.has_member(member));
            if let Some(unknown) = unknown {
                return Err(LedgerError::UnknownMember(runner.clone(), unknown.clone()));
            }
            if !grant.adds_up() {
                return Err(LedgerError::SumMismatch(runner.clone()));
            }
        }
        Ok(())
    }
}
