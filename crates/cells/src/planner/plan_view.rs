//! Input of a plan.

use crate::owner::CellWorker;
use crate::state::CellState;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A cell as seen by the planner.
#[derive(Clone, Copy, Debug)]
pub struct PlanView<'a> {
    /// The cell's state, including changes that are not committed yet.
    pub state: &'a CellState,
    /// The cell's workers, listed or not.
    pub workers: &'a SortedTable<WorkerName, CellWorker>,
    /// Attempts that were asked to stop.
    pub stopping: &'a SortedTable<TaskName, AttemptNumber>,
    /// Current time.
    pub now: MonoTime,
    /// The maximum age of a permit that a start may use, in milliseconds.
    pub permit_fresh_ms: u64,
    /// The most starts to plan.
    pub limit: usize,
}
