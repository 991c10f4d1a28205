//! A task as a cell stores it.

use serde::Deserialize;
use serde::Serialize;

use crate::state::AssignedPhase;
use crate::state::EndedPhase;
use crate::state::TaskCycle;
use crate::state::WaitingPhase;

/// A task in whichever phase it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEntry {
    /// It runs nowhere and waits.
    Waiting(TaskCycle<WaitingPhase>),
    /// It may run on one worker.
    Assigned(TaskCycle<AssignedPhase>),
    /// It has ended.
    Ended(TaskCycle<EndedPhase>),
}
