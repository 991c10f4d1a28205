//! Queue of simulated events.

use crate::share_event::ShareEvent;

/// Events by time, then by the order of `push`; the next one is last.
#[derive(Default)]
pub struct EventQueue {
    events: Vec<(u64, u64, ShareEvent)>,
    pushed: u64,
}

impl EventQueue {
    pub fn push(&mut self, time: u64, event: ShareEvent) {
        self.pushed += 1;
        let key = (time, self.pushed);
        let index = self
            .events
            .partition_point(|(time, count, _)| (*time, *count) > key);
        self.events.insert(index, (time, self.pushed, event));
    }

    /// Removes the next event if it is due by `end`.
    pub fn pop_until(&mut self, end: u64) -> Option<(u64, ShareEvent)> {
        let (time, _, _) = self.events.last()?;
        if *time > end {
            return None;
        }
        self.events.pop().map(|(time, _, event)| (time, event))
    }
}
