//! State of the token protocol.

use crate::token_handover::token_ledger::TokenLedger;
use crate::token_handover::token_member::TokenMember;

/// Maximum number of members: three daemons, and a new incarnation of one.
pub(crate) const MEMBERS: usize = 4;

/// State of the ledger and the members, and how many of the bounded actions are left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenState {
    pub(crate) ledger: TokenLedger,
    pub(crate) members: [TokenMember; MEMBERS],
    /// Tokens that may still be handed over.
    pub(crate) transfers: u8,
    /// Members that may still die.
    pub(crate) kills: u8,
    /// New incarnations that may still join.
    pub(crate) joins: u8,
    /// Requests that may still be sent.
    pub(crate) requests: u8,
}

impl TokenState {
    pub(crate) const fn member(&self, member: u8) -> &TokenMember {
        &self.members[member as usize]
    }

    pub(crate) const fn member_mut(&mut self, member: u8) -> &mut TokenMember {
        &mut self.members[member as usize]
    }

    /// Whether `member` is listed in the ledger.
    pub(crate) const fn is_listed(&self, member: u8) -> bool {
        self.ledger.members[member as usize]
    }

    /// Number of requests of all members at the runner.
    pub(crate) fn requests_at_runner(&self) -> u8 {
        self.members.iter().map(|member| member.in_flight).sum()
    }
}
