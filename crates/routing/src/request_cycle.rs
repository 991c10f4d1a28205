//! The life of one request.
//!
//! [`ReceivedPhase`] -> [`AdmittedPhase`] (a slot is held) -> [`SentPhase`] (the
//! first byte has left) -> [`AnsweredPhase`] or [`UnknownPhase`].
//! [`NotRunPhase`] is reached from the phases before [`SentPhase`], and from it
//! only on the runner's own word.

mod admitted_phase;
mod answered_phase;
mod not_run_phase;
mod received_phase;
mod sent_phase;
mod unknown_phase;

use crate::RecordProof;
use crate::RequestFacts;

pub use admitted_phase::AdmittedPhase;
pub use answered_phase::AnsweredPhase;
pub use not_run_phase::NotRunPhase;
pub use received_phase::ReceivedPhase;
pub use sent_phase::SentPhase;
pub use unknown_phase::UnknownPhase;

/// One request, in one phase of its life.
///
/// # Examples
///
/// A refusal before anything was sent is "not run":
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::RequestCycle;
/// use sapphirestile_routing::RequestFacts;
/// use sapphirestile_routing::RouteRefusal;
///
/// let facts = RequestFacts {
///     idempotent: true,
///     key: None,
///     deadline: MonoTime::from_millis(100),
/// };
/// let not_run = RequestCycle::receive(facts).refuse(RouteRefusal::NoSlot);
/// assert_eq!(not_run.refusal(), RouteRefusal::NoSlot);
/// ```
///
/// Once sent, it cannot be said:
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
    facts: RequestFacts,
    record: Option<RecordProof>,
    attempts: u32,
    phase: Phase,
}

impl<Phase> RequestCycle<Phase> {
    /// What was known of the request when it was received.
    #[must_use]
    pub const fn facts(&self) -> &RequestFacts {
        &self.facts
    }

    /// Whether the request is recorded.
    #[must_use]
    pub const fn has_record(&self) -> bool {
        self.record.is_some()
    }

    /// How many times the request was sent to a runner.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    fn enter<Next>(self, next: impl FnOnce(Phase) -> Next) -> RequestCycle<Next> {
        RequestCycle {
            facts: self.facts,
            record: self.record,
            attempts: self.attempts,
            phase: next(self.phase),
        }
    }
}
