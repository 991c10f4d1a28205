//! A run that ended.

use crate::order::TaskAddress;
use crate::worker::EndKind;

/// A run that ended, as its worker tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// The number of the end, from 1 in each life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskAddress,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// What it had saved; empty if nothing.
    pub checkpoint: Box<str>,
}
