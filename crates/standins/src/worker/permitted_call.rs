//! A call whose permit holds.

use sapphirestile_core::MonoTime;

/// A start whose epoch and permit hold at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermittedCall {
    pub(super) now: MonoTime,
}

impl PermittedCall {
    /// The moment at which the permit was checked.
    #[must_use]
    pub const fn now(self) -> MonoTime {
        self.now
    }
}
