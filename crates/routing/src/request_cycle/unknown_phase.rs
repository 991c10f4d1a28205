//! The phase of a request with an unknown outcome.

use std::mem::ManuallyDrop;

use crate::PendingRelease;
use crate::ReceivedPhase;
use crate::RequestCycle;
use crate::RetriedRequest;
use crate::RetryBudget;
use crate::SlotGuard;
use sapphirestile_core::MonoTime;

/// A request of which it is unknown whether it ran, is running or never ran.
#[derive(Debug)]
pub struct UnknownPhase {
    pub(super) slot: ManuallyDrop<SlotGuard>,
}

impl RequestCycle<UnknownPhase> {
    /// Ends the request and keeps its slot in use until `until`. By then, the longest
    /// request that the runner may be working on must be over.
    #[must_use]
    pub fn release_at(self, until: MonoTime) -> PendingRelease {
        PendingRelease::new(self.phase.slot, until)
    }

    /// Starts an idempotent request again within `budget`, and keeps the slot of the
    /// previous attempt in use until `until`.
    ///
    /// # Errors
    ///
    /// Returns the request itself if it is not idempotent or the budget is exhausted.
    pub fn retry(self, budget: &RetryBudget, until: MonoTime) -> Result<RetriedRequest, Box<Self>> {
        if !self.attributes.idempotent || !budget.spend() {
            return Err(Box::new(self));
        }
        let cycle = RequestCycle {
            attributes: self.attributes,
            record: None,
            attempts: self.attempts,
            phase: ReceivedPhase,
        };
        let slot = PendingRelease::new(self.phase.slot, until);
        Ok(RetriedRequest { cycle, slot })
    }
}
