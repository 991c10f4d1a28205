//! The outcome of a call to a worker.

use sapphirestile_cells::AttemptReport;
use sapphirestile_cells::ReportChanges;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;

/// The outcome of a call to a worker, as the calling daemon sees it. Stops and throttles have
/// none.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// A session renewal was answered.
    SessionAnswered {
        /// The called worker.
        worker: WorkerName,
        /// Ordinal of the renewal, from the request.
        ordinal: u64,
        /// When the daemon sent the renewal, on its own clock.
        sent_at: MonoTime,
        /// Changes since the report that the request named as its base.
        changes: ReportChanges,
        /// All attempts on the worker when it answered, which the merged report is checked
        /// against.
        attempts: Vec<AttemptReport>,
    },
    /// A session renewal was refused, lost or timed out.
    SessionLost {
        /// The called worker.
        worker: WorkerName,
        /// Ordinal of the renewal, from the request.
        ordinal: u64,
    },
    /// A start was answered, whether accepted or refused, or timed out.
    StartEnded(WorkerName),
}
