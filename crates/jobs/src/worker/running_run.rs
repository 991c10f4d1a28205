//! A run that goes on.

use crate::order::TaskAddress;

/// A run that goes on, as its worker tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRun {
    /// The task.
    pub task: TaskAddress,
    /// The run.
    pub run: u32,
    /// What it has saved; empty if nothing.
    pub checkpoint: Box<str>,
    /// The share of its pace that it works at, in percent.
    pub pace_percent: u32,
    /// For a task with callers of its own, the tail of their latencies in
    /// milliseconds; for any other, the processor time in use in thousandths of a
    /// processor. A rough figure of the last half second.
    pub figure: u64,
}
