//! The answer to a question for a runner.

use crate::RouteReach;
use crate::RunnerRow;
use crate::SlotGuard;

/// A chosen runner with a slot taken on it.
#[derive(Debug)]
pub struct RouteChoice {
    slot: SlotGuard,
    reach: RouteReach,
}

impl RouteChoice {
    pub(crate) const fn new(slot: SlotGuard, reach: RouteReach) -> Self {
        Self { slot, reach }
    }

    /// The chosen runner.
    #[must_use]
    pub fn row(&self) -> &RunnerRow {
        self.slot.row()
    }

    /// How far away the runner is.
    #[must_use]
    pub const fn reach(&self) -> RouteReach {
        self.reach
    }

    /// The slot taken.
    #[must_use]
    pub fn into_slot(self) -> SlotGuard {
        self.slot
    }
}
