//! What a planner looks at.

use crate::owner::WorkerView;
use crate::state::CellState;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;
use sapphirestile_core::WorkerName;

/// A cell, as the planner sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlanView<'a> {
    /// The cell's state.
    pub state: &'a CellState,
    /// Its workers.
    pub workers: &'a SortedTable<WorkerName, WorkerView>,
    /// Attempts that were asked to stop.
    pub stopping: &'a SortedTable<TaskName, AttemptNumber>,
    /// The time now.
    pub now: MonoTime,
    /// The age of a permit that is still worth committing against, in milliseconds.
    pub permit_fresh_ms: u64,
    /// The most starts to plan.
    pub limit: usize,
}
