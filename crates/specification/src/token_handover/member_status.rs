//! Status of a member.

/// Whether a member's process is up, and whether its death is proven.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberStatus {
    /// Not started, and not in the ledger yet.
    #[default]
    Absent,
    /// Its process is up, though it may be paused.
    Alive,
    /// Its process has died, but there is no proof of it yet.
    Dead,
    /// Its process has died, and the VM list or the next incarnation proves it.
    Gone,
}
