//! What is still to happen.

use std::cmp::Reverse;

use crate::SoakEvent;
use sapphirestile_core::SortedTable;

/// What is still to happen, and when.
#[derive(Debug, Default)]
pub struct EventQueue {
    /// The earliest last.
    rows: SortedTable<Reverse<(u64, u64)>, SoakEvent>,
    ticket: u64,
}

impl EventQueue {
    /// Adds an event at `at`, in milliseconds, after those of the same moment.
    pub fn push(&mut self, at: u64, event: SoakEvent) {
        self.ticket += 1;
        self.rows.insert(Reverse((at, self.ticket)), event);
    }

    /// Takes the earliest event out.
    pub fn pop(&mut self) -> Option<(u64, SoakEvent)> {
        let key = self.rows.iter().next_back().map(|(key, _)| *key);
        let Reverse((at, ticket)) = key?;
        let event = self.rows.remove(&Reverse((at, ticket)))?;
        Some((at, event))
    }
}
