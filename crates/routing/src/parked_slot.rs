//! A slot that may still be in use by its runner.

use std::mem::ManuallyDrop;

use crate::SlotGuard;
use sapphirestile_core::MonoTime;

/// A slot whose request had no whole answer.
///
/// The runner may be working on the request until `until`; the slot is given
/// back only then, and never when this value is merely dropped.
#[derive(Debug)]
pub struct ParkedSlot {
    slot: ManuallyDrop<SlotGuard>,
    until: MonoTime,
}

impl ParkedSlot {
    pub(crate) const fn new(slot: ManuallyDrop<SlotGuard>, until: MonoTime) -> Self {
        Self { slot, until }
    }

    /// The time from which the slot may be given back.
    #[must_use]
    pub const fn until(&self) -> MonoTime {
        self.until
    }

    /// Gives the slot back when its time has come.
    ///
    /// # Errors
    ///
    /// The slot itself, when `now` is too early.
    pub fn release(self, now: MonoTime) -> Result<(), Self> {
        if now < self.until {
            return Err(self);
        }
        drop(ManuallyDrop::into_inner(self.slot));
        Ok(())
    }
}
