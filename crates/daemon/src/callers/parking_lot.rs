//! Slots that may still be in use.

use std::sync::Mutex;
use std::sync::PoisonError;

use sapphirestile_core::MonoTime;
use sapphirestile_routing::PendingRelease;
use sapphirestile_routing::PendingReleases;

/// Slots of requests that had no answer, off the path of a request.
#[derive(Debug, Default)]
pub struct ParkingLot {
    slots: Mutex<PendingReleases>,
}

impl ParkingLot {
    /// Keeps a slot until its time has come.
    pub fn park(&self, slot: PendingRelease) {
        self.slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(slot);
    }

    /// Gives back the slots whose time has come and returns how many.
    pub fn release_due(&self, now: MonoTime) -> usize {
        self.slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .release_due(now)
    }

    /// How many slots are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Whether no slot is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
