//! The phase of a request that was not run.

use crate::ReceivedPhase;
use crate::RequestCycle;
use crate::RetryBudget;
use crate::RouteRefusal;

/// A request that is known not to have run.
#[derive(Debug)]
pub struct NotRunPhase {
    pub(super) refusal: RouteRefusal,
}

impl RequestCycle<NotRunPhase> {
    /// Why the request was not run.
    #[must_use]
    pub const fn refusal(&self) -> RouteRefusal {
        self.phase.refusal
    }

    /// Starts the request again within `budget`. It was not run, so this is safe even if
    /// it is not idempotent. The request keeps its record, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the request itself if the budget is exhausted.
    pub fn retry(self, budget: &RetryBudget) -> Result<RequestCycle<ReceivedPhase>, Box<Self>> {
        if !budget.spend() {
            return Err(Box::new(self));
        }
        Ok(self.transition(|_| ReceivedPhase))
    }
}
