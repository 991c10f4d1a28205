//! A running task of a draining zone.

/// A running task of a draining zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTask {
    /// CPU time used since the last checkpoint stored outside the zone, in
    /// core-microseconds (millicores times milliseconds).
    pub unsaved_cpu_us: u64,
    /// The bytes that a new checkpoint sends out of the zone.
    pub checkpoint_bytes: u64,
    /// The expected time until the task ends, in milliseconds, or `None` if unknown.
    pub remaining_ms: Option<u64>,
    /// Whether it is urgent; urgent tasks are moved first.
    pub urgent: bool,
}
