//! The phase of a request that holds no slot yet.

use crate::NotRunPhase;
use crate::RequestAttributes;
use crate::RequestCycle;
use crate::RouteChoice;
use crate::RouteRefusal;
use crate::request_cycle::AdmittedPhase;

/// A request that holds no slot yet.
#[derive(Debug)]
pub struct ReceivedPhase;

impl RequestCycle<ReceivedPhase> {
    /// A new request from a caller.
    #[must_use]
    pub const fn receive(attributes: RequestAttributes) -> Self {
        Self {
            attributes,
            record: None,
            attempts: 0,
            phase: ReceivedPhase,
        }
    }

    /// Assigns the chosen runner and the slot held on it.
    #[must_use]
    pub fn admit(self, choice: RouteChoice) -> RequestCycle<AdmittedPhase> {
        self.transition(|_| AdmittedPhase { choice })
    }

    /// Ends the request without running it.
    #[must_use]
    pub fn refuse(self, refusal: RouteRefusal) -> RequestCycle<NotRunPhase> {
        self.transition(|_| NotRunPhase { refusal })
    }
}
