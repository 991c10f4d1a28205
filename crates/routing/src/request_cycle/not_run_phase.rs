//! The phase of a request that was not run.

use crate::RequestCycle;
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
}
