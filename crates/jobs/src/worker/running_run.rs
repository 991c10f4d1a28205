//! A run in progress.

use crate::spec::TaskIdentity;

/// A run in progress, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// Task that the run executes.
    pub task: TaskIdentity,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint; empty if none was saved.
    pub checkpoint: Box<str>,
    /// Pace that the run is limited to, in percent of its full speed.
    pub pace_percent: u32,
    /// For a task with callers of its own, the tail of their latencies in
    /// milliseconds; for any other, the processor time in use in thousandths of a
    /// processor. A rough measurement over the last half second.
    pub measurement: u64,
}
