//! The phase of a request that holds a slot.

use std::mem::ManuallyDrop;

use crate::NotRunPhase;
use crate::RecordProof;
use crate::RequestCycle;
use crate::RouteChoice;
use crate::RouteRefusal;
use crate::request_cycle::SentPhase;

/// A request that holds a slot and of which no byte has left.
#[derive(Debug)]
pub struct AdmittedPhase {
    pub(super) choice: RouteChoice,
}

impl RequestCycle<AdmittedPhase> {
    /// The chosen runner.
    #[must_use]
    pub const fn choice(&self) -> &RouteChoice {
        &self.phase.choice
    }

    /// Whether the request needs a record before it may be sent.
    #[must_use]
    pub const fn needs_record(&self) -> bool {
        !self.facts.idempotent && self.record.is_none()
    }

    /// Attaches the proof that the request is recorded.
    ///
    /// # Panics
    ///
    /// When the proof is of another request.
    #[must_use]
    pub fn with_record(mut self, proof: RecordProof) -> Self {
        assert_eq!(
            self.facts.key.as_ref(),
            Some(proof.key()),
            "the record is of another request"
        );
        self.record = Some(proof);
        self
    }

    /// Lets the first byte leave.
    ///
    /// # Errors
    ///
    /// The request itself, when it is not idempotent and has no record.
    pub fn send(mut self) -> Result<RequestCycle<SentPhase>, Box<Self>> {
        if self.needs_record() {
            return Err(Box::new(self));
        }
        self.attempts += 1;
        Ok(self.enter(|phase| SentPhase {
            reach: phase.choice.reach(),
            slot: ManuallyDrop::new(phase.choice.into_slot()),
        }))
    }

    /// Ends the request and gives its slot back; it was not run.
    #[must_use]
    pub fn refuse(self, refusal: RouteRefusal) -> RequestCycle<NotRunPhase> {
        self.enter(|_| NotRunPhase { refusal })
    }
}
