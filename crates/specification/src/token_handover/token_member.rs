//! A member.

use crate::token_handover::member_life::MemberLife;
use crate::token_handover::token_state::MEMBERS;

/// One life of a daemon as a holder of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenMember {
    /// Whether it is there.
    pub life: MemberLife,
    /// Tokens that it began with or was granted.
    pub granted: u8,
    /// Tokens sent to each member so far.
    pub sent: [u8; MEMBERS],
    /// The largest count heard from each member.
    pub received: [u8; MEMBERS],
    /// Members whose messages it no longer takes.
    pub closed: [bool; MEMBERS],
    /// The member that a count was sent to before it was counted here.
    pub uncounted: Option<u8>,
    /// Requests in flight at the runner.
    pub in_flight: u8,
    /// Granted tokens that may not be used yet.
    pub frozen: u8,
    /// Ticks until they may.
    pub frozen_ticks: u8,
    /// Ticks since its death, while requests of it may be at the runner.
    pub dead_ticks: u8,
}

impl TokenMember {
    /// Tokens that it holds.
    pub(crate) fn held(&self) -> u8 {
        let income = self.granted + self.received.iter().sum::<u8>();
        income - self.sent.iter().sum::<u8>()
    }

    /// Whether it holds a token that it may use or hand over.
    pub(crate) fn has_free(&self) -> bool {
        self.held() > self.in_flight + self.frozen
    }

    /// Whether its process is up.
    pub(crate) fn is_alive(&self) -> bool {
        self.life == MemberLife::Alive
    }
}
