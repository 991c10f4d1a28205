//! The life cycle of one request.
//!
//! [`ReceivedPhase`] -> [`AdmittedPhase`] (a slot is held) -> [`SentPhase`] (the first
//! byte was sent) -> [`AnsweredPhase`] or [`UnknownPhase`]. [`NotRunPhase`] follows a
//! phase before [`SentPhase`]; it follows [`SentPhase`] only if the runner itself
//! reports that it did not run the request.

mod admitted_phase;
mod answered_phase;
mod not_run_phase;
mod received_phase;
mod sent_phase;
mod unknown_phase;

use crate::RecordProof;
use crate::RequestAttributes;

pub use admitted_phase::AdmittedPhase;
pub use answered_phase::AnsweredPhase;
pub use not_run_phase::NotRunPhase;
pub use received_phase::ReceivedPhase;
pub use sent_phase::SentPhase;
pub use unknown_phase::UnknownPhase;

/// A request in one phase of its life cycle.
///
/// # Examples
///
/// A request that is refused before anything was sent is known not to have run:
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::RequestCycle;
/// use sapphirestile_routing::RequestAttributes;
/// use sapphirestile_routing::RouteRefusal;
///
/// let attributes = RequestAttributes {
///     idempotent: true,
///     key: None,
///     deadline: MonoTime::from_millis(100),
/// };
/// let not_run = RequestCycle::receive(attributes).refuse(RouteRefusal::NoSlot);
/// assert_eq!(not_run.refusal(), RouteRefusal::NoSlot);
/// ```
///
/// A request that was sent cannot be refused:
///
/// ```compile_fail
/// use sapphirestile_routing::RequestCycle;
/// use sapphirestile_routing::RouteRefusal;
/// use sapphirestile_routing::SentPhase;
///
/// fn refuse_late(cycle: RequestCycle<SentPhase>) {
///     let _ = cycle.refuse(RouteRefusal::NoSlot);
/// }
/// ```
#[derive(Debug)]
pub struct RequestCycle<Phase> {
    attributes: RequestAttributes,
    record: Option<RecordProof>,
    attempts: u32,
    phase: Phase,
}

impl<Phase> RequestCycle<Phase> {
    /// The attributes of the request that were known when it was received.
    #[must_use]
    pub const fn attributes(&self) -> &RequestAttributes {
        &self.attributes
    }

    /// Whether the request has a proof of its at-most-once record.
    #[must_use]
    pub const fn has_record(&self) -> bool {
        self.record.is_some()
    }

    /// How many times the request was sent to a runner, including the earlier attempts that
    /// this one retries or hedges.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    fn transition<Next>(self, next: impl FnOnce(Phase) -> Next) -> RequestCycle<Next> {
        RequestCycle {
            attributes: self.attributes,
            record: self.record,
            attempts: self.attempts,
            phase: next(self.phase),
        }
    }
}
