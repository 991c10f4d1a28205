//! The task in the journal.

use crate::cell_ownership::task_phase::TaskPhase;

/// State of the task by the journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskRecord {
    /// Phase of the task.
    pub phase: TaskPhase,
    /// Number of the latest attempt; 0 before the first.
    pub attempt: u8,
    /// Worker of an assigned task; 0 otherwise.
    pub worker: u8,
    /// Permit that the start message of an assigned task carries; 0 if a former owner
    /// assigned it.
    pub permit: u8,
}

impl TaskRecord {
    /// The task in `phase`, without a worker.
    pub(crate) const fn unassigned(self, phase: TaskPhase) -> Self {
        Self {
            phase,
            attempt: self.attempt,
            worker: 0,
            permit: 0,
        }
    }

    /// Whether the latest attempt is `attempt` and is assigned.
    pub(crate) fn is_assigned(self, attempt: u8) -> bool {
        self.phase == TaskPhase::Assigned && self.attempt == attempt
    }

    /// Number of the latest attempt that has ended by the journal.
    pub(crate) fn settled_attempt(self) -> u8 {
        if self.phase == TaskPhase::Assigned {
            return self.attempt - 1;
        }
        self.attempt
    }
}
