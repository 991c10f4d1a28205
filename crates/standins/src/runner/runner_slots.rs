//! The slots of a runner.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::runner::RunnerSlot;

/// Limits the number of requests that run at the same time. Clones share the same slots.
///
/// # Examples
///
/// ```
/// use sapphirestile_standins::runner::RunnerSlots;
///
/// let slots = RunnerSlots::new(1);
/// let slot = slots.try_acquire().unwrap();
/// assert!(slots.try_acquire().is_none());
/// drop(slot);
/// assert!(slots.try_acquire().is_some());
/// assert_eq!(slots.peak_occupied(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct RunnerSlots {
    limit: u32,
    occupied: Arc<AtomicU32>,
    peak_occupied: Arc<AtomicU32>,
}

impl RunnerSlots {
    /// Creates `limit` free slots.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            occupied: Arc::new(AtomicU32::new(0)),
            peak_occupied: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Occupies a slot until the returned guard is dropped; `None` when all are occupied.
    #[must_use]
    pub fn try_acquire(&self) -> Option<RunnerSlot> {
        let increment = |occupied| (occupied < self.limit).then_some(occupied + 1);
        let previous = self
            .occupied
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment)
            .ok()?;
        self.peak_occupied.fetch_max(previous + 1, Ordering::AcqRel);
        Some(RunnerSlot::new(Arc::clone(&self.occupied)))
    }

    /// The maximum number of slots that were occupied at the same time so far.
    #[must_use]
    pub fn peak_occupied(&self) -> u32 {
        self.peak_occupied.load(Ordering::Acquire)
    }
}
