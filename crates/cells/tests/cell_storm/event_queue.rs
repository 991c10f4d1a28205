//! Events in the order of their times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::storm_event::StormEvent;
use sapphirestile_core::MonoTime;

/// What is on its way, earliest first; equal times in the order of sending.
#[derive(Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(MonoTime, usize)>>,
    events: Vec<Option<StormEvent>>,
}

impl EventQueue {
    pub fn push(&mut self, at: MonoTime, event: StormEvent) {
        self.order.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    pub fn pop_due(&mut self, now: MonoTime) -> Option<StormEvent> {
        let Reverse((at, _)) = self.order.peek()?;
        if *at > now {
            return None;
        }
        let Reverse((_, place)) = self.order.pop()?;
        self.events[place].take()
    }
}
