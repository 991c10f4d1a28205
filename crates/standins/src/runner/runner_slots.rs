//! The slots of a runner.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::runner::RunnerSlot;

/// Counts the slots that are taken.
///
/// # Examples
///
/// ```
/// use sapphirestile_standins::runner::RunnerSlots;
///
/// let slots = RunnerSlots::new(1);
/// let slot = slots.take().unwrap();
/// assert!(slots.take().is_none());
/// drop(slot);
/// assert!(slots.take().is_some());
/// assert_eq!(slots.most_taken(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct RunnerSlots {
    limit: u32,
    taken: Arc<AtomicU32>,
    most_taken: Arc<AtomicU32>,
}

impl RunnerSlots {
    /// `limit` free slots.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            taken: Arc::new(AtomicU32::new(0)),
            most_taken: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Takes a slot until it is dropped; none when all are taken.
    #[must_use]
    pub fn take(&self) -> Option<RunnerSlot> {
        let more = |taken| (taken < self.limit).then_some(taken + 1);
        let before = self
            .taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more)
            .ok()?;
        self.most_taken.fetch_max(before + 1, Ordering::AcqRel);
        Some(RunnerSlot::new(Arc::clone(&self.taken)))
    }

    /// The most slots that were taken at a time.
    #[must_use]
    pub fn most_taken(&self) -> u32 {
        self.most_taken.load(Ordering::Acquire)
    }
}
