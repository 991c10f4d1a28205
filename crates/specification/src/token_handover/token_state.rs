//! The whole state of one runner's tokens.

use crate::token_handover::token_ledger::TokenLedger;
use crate::token_handover::token_member::TokenMember;

/// Three daemons, and a next incarnation of one.
pub(crate) const MEMBERS: usize = 4;

/// Ledger, members and what is left of the bounded events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenState {
    pub(crate) ledger: TokenLedger,
    pub(crate) members: [TokenMember; MEMBERS],
    pub(crate) transfers: u8,
    pub(crate) kills: u8,
    pub(crate) joins: u8,
    pub(crate) requests: u8,
}

impl TokenState {
    pub(crate) const fn member(&self, member: u8) -> &TokenMember {
        &self.members[member as usize]
    }

    pub(crate) const fn member_mut(&mut self, member: u8) -> &mut TokenMember {
        &mut self.members[member as usize]
    }

    /// Whether `member` is in the ledger.
    pub(crate) const fn is_listed(&self, member: u8) -> bool {
        self.ledger.members[member as usize]
    }

    /// Requests at the runner.
    pub(crate) fn requests_at_runner(&self) -> u8 {
        self.members.iter().map(|member| member.in_flight).sum()
    }
}
