//! The task as the journal has it.

use crate::cell_ownership::record_phase::RecordPhase;

/// The task folded from the journal's entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskRecord {
    /// How far it has come.
    pub phase: RecordPhase,
    /// Its latest attempt.
    pub attempt: u8,
    /// The worker of a placed task.
    pub worker: u8,
    /// The permit that the start of a placed task quotes; 0 when a former owner
    /// placed it.
    pub permit: u8,
}

impl TaskRecord {
    /// The task on no worker.
    pub(crate) const fn moved_to(self, phase: RecordPhase) -> Self {
        Self {
            phase,
            attempt: self.attempt,
            worker: 0,
            permit: 0,
        }
    }

    /// Whether the latest attempt is `attempt` and is placed.
    pub(crate) fn is_placed(self, attempt: u8) -> bool {
        self.phase == RecordPhase::Placed && self.attempt == attempt
    }

    /// The highest attempt that is over.
    pub(crate) fn settled_attempt(self) -> u8 {
        if self.phase == RecordPhase::Placed {
            return self.attempt - 1;
        }
        self.attempt
    }
}
