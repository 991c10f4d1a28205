//! The phase of a request whose outcome is not known.

use std::mem::ManuallyDrop;

use crate::ParkedSlot;
use crate::ReceivedPhase;
use crate::RequestCycle;
use crate::RetriedRequest;
use crate::RetryBudget;
use crate::SlotGuard;
use sapphirestile_core::MonoTime;

/// A request that may have run, may be running, or may not have run.
#[derive(Debug)]
pub struct UnknownPhase {
    pub(super) slot: ManuallyDrop<SlotGuard>,
}

impl RequestCycle<UnknownPhase> {
    /// Ends the request and parks its slot until `until`, when the longest
    /// request that the runner could be working on has passed.
    #[must_use]
    pub fn park(self, until: MonoTime) -> ParkedSlot {
        ParkedSlot::new(self.phase.slot, until)
    }

    /// Begins an idempotent request again, within `budget`, and parks the slot of
    /// the lost attempt until `until`.
    ///
    /// # Errors
    ///
    /// The request itself, when it is not idempotent or the budget is spent.
    pub fn retry(self, budget: &RetryBudget, until: MonoTime) -> Result<RetriedRequest, Box<Self>> {
        if !self.facts.idempotent || !budget.spend() {
            return Err(Box::new(self));
        }
        let cycle = RequestCycle {
            facts: self.facts,
            record: None,
            attempts: self.attempts,
            phase: ReceivedPhase,
        };
        let slot = ParkedSlot::new(self.phase.slot, until);
        Ok(RetriedRequest { cycle, slot })
    }
}
