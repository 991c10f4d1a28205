//! The last counts between two members.

/// What a member reports of one that is gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClosedCount {
    /// Tokens sent to it.
    pub sent: u8,
    /// Tokens heard to have come from it.
    pub received: u8,
}
