//! An attempt in the phase that it has reached.

use crate::worker::EndedPhase;
use crate::worker::RunningPhase;
use crate::worker::TaskCycle;

/// An attempt in the phase that it has reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEntry {
    /// It runs.
    Running(TaskCycle<RunningPhase>),
    /// It has ended.
    Ended(TaskCycle<EndedPhase>),
}
