//! The phase of a request that was not run.

use crate::ReceivedPhase;
use crate::RequestCycle;
use crate::RetryBudget;
use crate::RouteRefusal;

/// A request that was not run, for certain.
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

    /// Begins the request again, within `budget`. It was not run, so this is
    /// right for any request; a record that it has stays with it.
    ///
    /// # Errors
    ///
    /// The request itself, when the budget is spent.
    pub fn retry(self, budget: &RetryBudget) -> Result<RequestCycle<ReceivedPhase>, Box<Self>> {
        if !budget.spend() {
            return Err(Box::new(self));
        }
        Ok(self.enter(|_| ReceivedPhase))
    }
}
