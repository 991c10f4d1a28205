//! Identity of a daemon's process.

/// One incarnation of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// Number of the daemon.
    pub daemon: u8,
    /// Number of restarts before this incarnation.
    pub incarnation: u8,
}
