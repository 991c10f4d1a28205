//! Final totals between two members.

/// Final totals of a member with one that is gone, as the remaining member reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClosedTotal {
    /// Number of tokens that were sent to the gone member.
    pub sent: u8,
    /// Number of tokens that were received from the gone member.
    pub received: u8,
}
