//! Grants of one runner's tokens.

use crate::LedgerGeneration;
use crate::MemberGrant;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::SortedTable;

/// The tokens of one runner and their distribution among the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerGrant {
    /// The ledger generation that added the runner. Counters with another value belong
    /// to an earlier or later runner of the same name.
    pub created_in: LedgerGeneration,
    /// The number of tokens that exist, one for each slot.
    pub slots: u32,
    /// The grants of the members that have one.
    pub members: SortedTable<DaemonIdentity, MemberGrant>,
}

impl RunnerGrant {
    /// The grant of `member`, which is zero if it has none.
    #[must_use]
    pub fn of(&self, member: &DaemonIdentity) -> MemberGrant {
        self.members.get(member).copied().unwrap_or_default()
    }

    /// Whether the net grants of all members add up to the number of slots.
    #[must_use]
    pub fn adds_up(&self) -> bool {
        let sum = self.members.values().map(MemberGrant::net).sum::<i64>();
        sum == i64::from(self.slots)
    }
}
