//! The phase of a request before a slot is held for it.

use crate::NotRunPhase;
use crate::RequestCycle;
use crate::RequestFacts;
use crate::RouteChoice;
use crate::RouteRefusal;
use crate::request_cycle::AdmittedPhase;

/// A request that holds no slot.
#[derive(Debug)]
pub struct ReceivedPhase;

impl RequestCycle<ReceivedPhase> {
    /// A request that a caller has just made.
    #[must_use]
    pub const fn receive(facts: RequestFacts) -> Self {
        Self {
            facts,
            record: None,
            attempts: 0,
            phase: ReceivedPhase,
        }
    }

    /// Goes on with a runner and its slot.
    #[must_use]
    pub fn admit(self, choice: RouteChoice) -> RequestCycle<AdmittedPhase> {
        self.enter(|_| AdmittedPhase { choice })
    }

    /// Ends the request; it was not run.
    #[must_use]
    pub fn refuse(self, refusal: RouteRefusal) -> RequestCycle<NotRunPhase> {
        self.enter(|_| NotRunPhase { refusal })
    }
}
