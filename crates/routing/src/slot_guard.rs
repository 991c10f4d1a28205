//! A slot held by one request.

use std::sync::Arc;

use crate::RunnerRow;

/// A slot of a runner, which is released when the guard is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    row: Arc<RunnerRow>,
}

impl SlotGuard {
    /// Takes a slot of the row's runner; returns `None` if no token is free.
    #[must_use]
    pub fn take(row: &Arc<RunnerRow>) -> Option<Self> {
        if !row.gauge.take_slot() {
            return None;
        }
        Some(Self {
            row: Arc::clone(row),
        })
    }

    /// The runner's row at the time when the slot was taken.
    #[must_use]
    pub fn row(&self) -> &RunnerRow {
        &self.row
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.row.gauge.release_slot();
    }
}
