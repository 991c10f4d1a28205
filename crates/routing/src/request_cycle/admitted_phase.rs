//! The phase of a request that holds a slot.

use std::mem::ManuallyDrop;

use crate::NotRunPhase;
use crate::RecordProof;
use crate::RequestCycle;
use crate::RouteChoice;
use crate::RouteRefusal;
use crate::request_cycle::SentPhase;

/// A request that holds a slot and of which no byte was sent.
#[derive(Debug)]
pub struct AdmittedPhase {
    pub(super) choice: RouteChoice,
}

impl RequestCycle<AdmittedPhase> {
    /// The chosen runner with the slot held on it.
    #[must_use]
    pub const fn choice(&self) -> &RouteChoice {
        &self.phase.choice
    }

    /// Whether the request must be recorded before it may be sent: it is not idempotent
    /// and has no record yet.
    #[must_use]
    pub const fn needs_record(&self) -> bool {
        !self.attributes.idempotent && self.record.is_none()
    }

    /// Attaches the proof that the request is recorded.
    ///
    /// # Panics
    ///
    /// If the proof has the key of another request.
    #[must_use]
    pub fn with_record(mut self, proof: RecordProof) -> Self {
        assert_eq!(
            self.attributes.key.as_ref(),
            Some(proof.key()),
            "the record is of another request"
        );
        self.record = Some(proof);
        self
    }

    /// Marks the request as sent; call this just before its first byte is sent.
    ///
    /// # Errors
    ///
    /// Returns the request itself if it is not idempotent and has no record.
    pub fn send(mut self) -> Result<RequestCycle<SentPhase>, Box<Self>> {
        if self.needs_record() {
            return Err(Box::new(self));
        }
        self.attempts += 1;
        Ok(self.transition(|phase| SentPhase {
            reach: phase.choice.reach(),
            slot: ManuallyDrop::new(phase.choice.into_slot()),
        }))
    }

    /// Ends the request without running it and releases its slot.
    #[must_use]
    pub fn refuse(self, refusal: RouteRefusal) -> RequestCycle<NotRunPhase> {
        self.transition(|_| NotRunPhase { refusal })
    }
}
