//! A slot to be released at a later time.

use std::mem::ManuallyDrop;

use crate::SlotGuard;
use sapphirestile_core::MonoTime;

/// A slot whose request got no complete answer, to be released at a later time.
///
/// The runner may be working on the request until `until`, so the slot is released only
/// then. Dropping this value does not release the slot.
#[derive(Debug)]
pub struct PendingRelease {
    slot: ManuallyDrop<SlotGuard>,
    until: MonoTime,
}

impl PendingRelease {
    pub(crate) const fn new(slot: ManuallyDrop<SlotGuard>, until: MonoTime) -> Self {
        Self { slot, until }
    }

    /// The time from which the slot may be released.
    #[must_use]
    pub const fn until(&self) -> MonoTime {
        self.until
    }

    /// Releases the slot.
    ///
    /// # Errors
    ///
    /// Returns this value if `now` is before [`Self::until`].
    pub fn release(self, now: MonoTime) -> Result<(), Self> {
        if now < self.until {
            return Err(self);
        }
        drop(ManuallyDrop::into_inner(self.slot));
        Ok(())
    }
}
