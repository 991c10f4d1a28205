//! The ledger in the store.

use crate::token_handover::closed_count::ClosedCount;
use crate::token_handover::token_state::MEMBERS;

/// Who holds tokens of the runner, as far as the store knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TokenLedger {
    /// The members that were not removed.
    pub members: [bool; MEMBERS],
    /// Tokens that each began with, counts with removed members taken in.
    pub granted: [i8; MEMBERS],
    /// What a member (first) reported of another (second).
    pub closed: [[Option<ClosedCount>; MEMBERS]; MEMBERS],
}
