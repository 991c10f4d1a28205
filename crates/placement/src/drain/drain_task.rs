//! A running task of a leaving zone.

/// What is known of a running task of a leaving zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTask {
    /// Work done since the last checkpoint outside the zone, in thousandths of
    /// a core times milliseconds.
    pub unsaved_work: u64,
    /// How much a new checkpoint sends out of the zone, in bytes.
    pub checkpoint_bytes: u64,
    /// How long the task is expected to run still, in milliseconds, if known.
    pub remaining_ms: Option<u64>,
    /// Whether it is urgent.
    pub urgent: bool,
}
