//! A time in which a task does not run.

/// The time since the latest run of a task ended, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RunGap {
    pub ended: u64,
    /// When the task had to run again, once that time has passed.
    pub missed_due: Option<u64>,
}
