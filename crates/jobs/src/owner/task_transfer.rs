//! Transfer of a task between cells.

use sapphirestile_core::CellNumber;

use crate::owner::DelegatedTask;
use crate::owner::ReturnedTask;
use crate::spec::TaskIdentity;

/// Transfer of a task without a run between the home of its job and another cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskTransfer {
    /// The home of the job has another cell run the task.
    Delegate {
        /// Cell that is to run the task.
        target: CellNumber,
        /// Task, for that cell's owner.
        delegated: DelegatedTask,
    },
    /// Another cell gives the task back to the home of the job.
    Return {
        /// Cell that has the job.
        home: CellNumber,
        /// Task, for that cell's owner.
        returned: ReturnedTask,
        /// Number of the transfer that brought the task here.
        received_run: u32,
    },
}

impl TaskTransfer {
    /// Task that is transferred.
    #[must_use]
    pub const fn task(&self) -> TaskIdentity {
        match self {
            Self::Delegate { delegated, .. } => delegated.task,
            Self::Return { returned, .. } => returned.task,
        }
    }

    /// Number of the transfer, in the sequence of the task's runs.
    #[must_use]
    pub const fn run(&self) -> u32 {
        match self {
            Self::Delegate { delegated, .. } => delegated.run,
            Self::Return { returned, .. } => returned.run,
        }
    }

    /// Cell that gets the task.
    #[must_use]
    pub const fn target(&self) -> CellNumber {
        match self {
            Self::Delegate { target, .. } => *target,
            Self::Return { home, .. } => *home,
        }
    }
}
