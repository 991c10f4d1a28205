//! A task that found no worker in its cell.

use crate::owner::WaitCauses;
use sapphirestile_core::CellNumber;
use sapphirestile_core::MonoTime;

/// A long-running task that found no worker in its cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplacedTask {
    /// When the task first found none.
    pub since: MonoTime,
    /// Whether a pass over the workers of this cell has found none.
    pub is_refused: bool,
    /// Cells that have given the task back since it last ran.
    pub declined: Vec<CellNumber>,
    /// What kept it from running.
    pub causes: WaitCauses,
}

impl UnplacedTask {
    /// Creates the record of a task that found no worker at `since`.
    pub fn new(since: MonoTime) -> Self {
        Self {
            since,
            is_refused: false,
            declined: Vec::new(),
            causes: WaitCauses::default(),
        }
    }
}
