//! The tokens of one runner.

use crate::LedgerGeneration;
use crate::MemberGrant;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::SortedTable;

/// The tokens of one runner and how they were split among the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerGrant {
    /// The generation that added the runner. Counters of another birth of the
    /// same name are not of this runner.
    pub birth: LedgerGeneration,
    /// How many tokens exist.
    pub slots: u32,
    /// The grants of the members.
    pub members: SortedTable<DaemonIdentity, MemberGrant>,
}

impl RunnerGrant {
    /// The grant of `member`; nothing when it has none.
    #[must_use]
    pub fn of(&self, member: &DaemonIdentity) -> MemberGrant {
        self.members.get(member).copied().unwrap_or_default()
    }

    /// Whether the grants of all members add up to the tokens that exist.
    #[must_use]
    pub fn adds_up(&self) -> bool {
        let sum = self.members.values().map(MemberGrant::net).sum::<i64>();
        sum == i64::from(self.slots)
    }
}
