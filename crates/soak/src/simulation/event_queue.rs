//! The queue of future events.

use std::cmp::Reverse;

use crate::SoakEvent;
use sapphirestile_core::SortedTable;

/// Future events by their virtual time. Events of the same time are kept in the order in which
/// they were added, so a run is deterministic.
#[derive(Debug, Default)]
pub struct EventQueue {
    /// Keyed by time and sequence; in reverse, so that the earliest event is the last entry.
    events: SortedTable<Reverse<(u64, u64)>, SoakEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event at `at_ms` of virtual time, after the events already added for that time.
    pub fn push(&mut self, at_ms: u64, event: SoakEvent) {
        self.last_sequence += 1;
        self.events
            .insert(Reverse((at_ms, self.last_sequence)), event);
    }

    /// Removes the earliest event and returns it with its time; `None` when the queue is empty.
    pub fn pop(&mut self) -> Option<(u64, SoakEvent)> {
        let key = self.events.iter().next_back().map(|(key, _)| *key);
        let Reverse((at_ms, sequence)) = key?;
        let event = self.events.remove(&Reverse((at_ms, sequence)))?;
        Some((at_ms, event))
    }
}
