//! An ended attempt that a worker still has to keep.

use sapphirestile_core::AttemptNumber;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// An ended attempt whose end is not in the journal yet.
#[derive(Clone, Debug)]
pub struct SettlingAttempt {
    pub worker: WorkerName,
    pub task: TaskName,
    pub attempt: AttemptNumber,
    /// The entry that has to be in the journal first.
    pub sequence: JournalSequence,
}
