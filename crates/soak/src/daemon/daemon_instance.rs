//! Identity of a daemon process.

/// Identity of one process of a daemon. Events for an earlier process are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonInstance {
    /// Index of the daemon, which stays the same across restarts.
    pub index: usize,
    /// Number of the process; higher than that of every process started before, of any daemon.
    pub incarnation: u64,
}
