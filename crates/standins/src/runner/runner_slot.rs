//! A taken slot.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// A taken slot of a runner, free again when dropped.
#[derive(Debug)]
pub struct RunnerSlot {
    taken: Arc<AtomicU32>,
}

impl RunnerSlot {
    /// A slot that `taken` counts already.
    pub(super) const fn new(taken: Arc<AtomicU32>) -> Self {
        Self { taken }
    }
}

impl Drop for RunnerSlot {
    fn drop(&mut self) {
        self.taken.fetch_sub(1, Ordering::AcqRel);
    }
}
