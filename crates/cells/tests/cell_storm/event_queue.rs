//! Queue of simulated events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::simulated_event::SimulatedEvent;
use sapphirestile_core::MonoTime;

/// Events in flight by time, then in the order of `push`.
#[derive(Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(MonoTime, usize)>>,
    events: Vec<Option<SimulatedEvent>>,
}

impl EventQueue {
    pub fn push(&mut self, at: MonoTime, event: SimulatedEvent) {
        self.order.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    pub fn pop_due(&mut self, now: MonoTime) -> Option<SimulatedEvent> {
        let Reverse((at, _)) = self.order.peek()?;
        if *at > now {
            return None;
        }
        let Reverse((_, index)) = self.order.pop()?;
        self.events[index].take()
    }
}
