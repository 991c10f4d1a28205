//! A run that has ended.

/// A run that has ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndedRun {
    /// Number of the run.
    pub run: u8,
    /// Whether it completed the task; otherwise it was stopped or its lease expired.
    pub is_done: bool,
    /// Whether the worker's lease has expired since.
    pub is_lapsed: bool,
    /// Whether another run has started since, on any worker.
    pub is_followed: bool,
}
