//! A start whose permit has been checked.

use sapphirestile_core::MonoTime;

/// A start whose epoch and permit were valid at one moment; required to start an attempt.
/// Returned only by [`FencedCall::permit`](crate::worker::FencedCall::permit).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermittedCall {
    pub(super) now: MonoTime,
}

impl PermittedCall {
    /// The time at which the permit was checked, on the worker's clock.
    #[must_use]
    pub const fn now(self) -> MonoTime {
        self.now
    }
}
