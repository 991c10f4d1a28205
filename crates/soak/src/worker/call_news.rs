//! What a caller learns of its call.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::ReportChanges;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// What a caller learns of its call to a worker.
#[derive(Clone, Debug)]
pub enum CallNews {
    /// A session was answered.
    Reported {
        /// The worker.
        worker: WorkerName,
        /// Which session it was.
        ordinal: u64,
        /// When it was asked for.
        asked: MonoTime,
        /// What it says.
        changes: ReportChanges,
        /// Every attempt as it was on the worker then.
        held: Vec<AttemptReport>,
    },
    /// A session was not answered.
    SessionLost {
        /// The worker.
        worker: WorkerName,
        /// Which session it was.
        ordinal: u64,
    },
    /// A start was answered, or given up.
    StartAnswered(WorkerName),
}
