//! One life of a daemon.

/// One life of a daemon of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMark {
    /// The daemon.
    pub place: usize,
    /// Its life.
    pub incarnation: u64,
}
