//! One life of a daemon.

/// A daemon and which of its lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// The daemon.
    pub daemon: u8,
    /// Its life: one more at each restart.
    pub incarnation: u8,
}
