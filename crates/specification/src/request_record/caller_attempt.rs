//! An attempt of the caller at one entry daemon.

use crate::request_record::attempt_phase::AttemptPhase;
use crate::request_record::call_state::CallState;

/// An attempt of the caller at one entry daemon, with the owner's answers in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerAttempt {
    /// Progress at the entry daemon.
    pub phase: AttemptPhase,
    /// State of its call to the runner.
    pub call: CallState,
    /// Whether the owner granted it the record. The grant may arrive late and repeatedly.
    pub granted: bool,
    /// Whether the owner refused it, because the record belongs to the other attempt.
    pub refused: bool,
}
