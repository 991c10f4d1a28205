//! Ledger of a runner's tokens in the store.

use crate::token_handover::closed_total::ClosedTotal;
use crate::token_handover::token_state::MEMBERS;

/// Members and granted tokens, as stored. Transfers between members are not in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenLedger {
    /// Whether each member is listed: it has joined and was not removed.
    pub members: [bool; MEMBERS],
    /// Number of tokens granted to each member, plus what it received from removed members
    /// and minus what it sent to them.
    pub granted: [i8; MEMBERS],
    /// Final totals that a member (first index) reported about a gone one (second index).
    pub closed_totals: [[Option<ClosedTotal>; MEMBERS]; MEMBERS],
}
