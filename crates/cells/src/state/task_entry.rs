//! Tasks as stored in a cell's state.

use serde::Deserialize;
use serde::Serialize;

use crate::state::AssignedPhase;
use crate::state::EndedPhase;
use crate::state::TaskCycle;
use crate::state::WaitingPhase;

/// A task in any phase of its life cycle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEntry {
    /// Runs nowhere and waits for a worker.
    Waiting(TaskCycle<WaitingPhase>),
    /// Assigned to one worker, where it may run.
    Assigned(TaskCycle<AssignedPhase>),
    /// Ended; never runs again.
    Ended(TaskCycle<EndedPhase>),
}
