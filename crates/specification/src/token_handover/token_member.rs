//! A member that holds tokens.

use crate::token_handover::member_status::MemberStatus;
use crate::token_handover::token_state::MEMBERS;

/// One incarnation of a daemon, which can hold tokens of the runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenMember {
    /// Whether its process is up.
    pub status: MemberStatus,
    /// Number of tokens that it had initially or was granted by the ledger.
    pub granted: u8,
    /// Total number of tokens sent to each member.
    pub sent: [u8; MEMBERS],
    /// Largest total received from each member.
    pub received: [u8; MEMBERS],
    /// Members from which it accepts no more totals.
    pub closed: [bool; MEMBERS],
    /// Receiver of a token that was sent but is not in `sent` yet; always `None` without
    /// the mutation.
    pub uncounted_receiver: Option<u8>,
    /// Number of its requests at the runner, which may outlive it.
    pub in_flight: u8,
    /// Number of reclaimed tokens that must not be used yet.
    pub deferred: u8,
    /// Ticks until the deferred tokens may be used.
    pub deferred_ticks: u8,
    /// Ticks since its death, counted while it has requests at the runner.
    pub dead_ticks: u8,
}

impl TokenMember {
    /// Number of tokens that it holds, in use or not.
    pub(crate) fn held(&self) -> u8 {
        let income = self.granted + self.received.iter().sum::<u8>();
        income - self.sent.iter().sum::<u8>()
    }

    /// Whether it holds a token that it may use or hand over now.
    pub(crate) fn has_free_token(&self) -> bool {
        self.held() > self.in_flight + self.deferred
    }

    /// Whether its process is up.
    pub(crate) fn is_alive(&self) -> bool {
        self.status == MemberStatus::Alive
    }
}
