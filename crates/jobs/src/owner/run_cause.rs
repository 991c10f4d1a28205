//! Why a run has ended.

use crate::worker::EndKind;
use crate::worker::StartOutcome;

/// Why the owner considers a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunCause {
    /// The worker reported the end.
    Ended(EndKind),
    /// A response to a poll that must list the run does not.
    NotShown,
    /// Another worker has the address of the incarnation that the run was assigned to.
    Replaced,
    /// The lease of the run has certainly expired.
    Lapsed,
    /// The worker did not accept the start request.
    NotTaken(StartOutcome),
    /// The assignment was revoked before the start request was sent.
    Withdrawn,
}

impl RunCause {
    /// Whether the run completed its task.
    #[must_use]
    pub const fn is_done(self) -> bool {
        matches!(self, Self::Ended(EndKind::Done))
    }

    /// Whether the run counts as a failed attempt.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::Ended(EndKind::Failed))
    }
}
