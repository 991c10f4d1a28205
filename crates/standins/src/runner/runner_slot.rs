//! An occupied slot of a runner.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// An occupied slot of a runner; released when dropped.
#[derive(Debug)]
pub struct RunnerSlot {
    occupied: Arc<AtomicU32>,
}

impl RunnerSlot {
    /// Creates a guard for a slot that is already counted in `occupied`.
    pub(super) const fn new(occupied: Arc<AtomicU32>) -> Self {
        Self { occupied }
    }
}

impl Drop for RunnerSlot {
    fn drop(&mut self) {
        self.occupied.fetch_sub(1, Ordering::AcqRel);
    }
}
