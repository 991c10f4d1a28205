//! Slots that may still be in use by their runners.

use crate::ParkedSlot;
use sapphirestile_core::MonoTime;

/// Parked slots in the order of the times at which they are given back.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_routing::ParkedSlots;
///
/// let mut slots = ParkedSlots::default();
/// assert_eq!(slots.release_due(MonoTime::from_millis(5)), 0);
/// ```
#[derive(Debug, Default)]
pub struct ParkedSlots {
    slots: Vec<ParkedSlot>,
}

impl ParkedSlots {
    /// Adds a slot.
    pub fn park(&mut self, slot: ParkedSlot) {
        let place = self
            .slots
            .partition_point(|other| other.until() <= slot.until());
        self.slots.insert(place, slot);
    }

    /// Gives back the slots whose time has come and returns how many.
    ///
    /// # Panics
    ///
    /// When the slots are not in the order of their times.
    pub fn release_due(&mut self, now: MonoTime) -> usize {
        let due = self.slots.partition_point(|slot| slot.until() <= now);
        for slot in self.slots.drain(..due) {
            assert!(slot.release(now).is_ok(), "a parked slot was due too early");
        }
        due
    }

    /// How many slots are parked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no slot is parked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
