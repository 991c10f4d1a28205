//! Whether a member is there.

/// The life of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberLife {
    /// Not yet in the ledger.
    #[default]
    Absent,
    /// Its process is up, perhaps paused.
    Alive,
    /// Its process is dead, and nobody knows.
    Dead,
    /// Dead, and the VM list or a next incarnation says so.
    KnownDead,
}
