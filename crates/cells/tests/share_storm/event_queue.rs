//! What happens, in the order of time.

use crate::share_event::ShareEvent;

/// Events in the order of time, then of being pushed.
#[derive(Default)]
pub struct EventQueue {
    rows: Vec<(u64, u64, ShareEvent)>,
    pushed: u64,
}

impl EventQueue {
    pub fn push(&mut self, time: u64, event: ShareEvent) {
        self.pushed += 1;
        let key = (time, self.pushed);
        let place = self
            .rows
            .partition_point(|(time, count, _)| (*time, *count) > key);
        self.rows.insert(place, (time, self.pushed, event));
    }

    /// Takes the next event out that is due by `end`.
    pub fn pop_until(&mut self, end: u64) -> Option<(u64, ShareEvent)> {
        let (time, _, _) = self.rows.last()?;
        if *time > end {
            return None;
        }
        self.rows.pop().map(|(time, _, event)| (time, event))
    }
}
