//! A chosen runner.

use crate::RouteReach;
use crate::RunnerRow;
use crate::SlotGuard;

/// A chosen runner with a slot held on it.
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

    /// The distance to the runner.
    #[must_use]
    pub const fn reach(&self) -> RouteReach {
        self.reach
    }

    /// Converts the choice into the slot held on the runner.
    #[must_use]
    pub fn into_slot(self) -> SlotGuard {
        self.slot
    }
}
