//! Actions of a pace plan.

use crate::spec::TaskIdentity;

/// Action on a best-effort run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceAction {
    /// Change the pace of the run.
    Pace {
        /// Task that the run executes.
        task: TaskIdentity,
        /// New pace, in percent of full speed; 0 pauses the run.
        percent: u32,
    },
    /// Stop the run of this task, to restart it on another worker.
    Move(TaskIdentity),
}
