//! A waiting task, as the choice of a worker sees it.

use crate::CustomerRoom;
use crate::PlacedTasks;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;

/// A borrowed view of a waiting task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task's job, when a worker may be held for it.
    pub job: Option<&'a JobName>,
    /// The size that the task will be given.
    pub size: ResourceSize,
    /// The task's customer.
    pub customer: &'a CustomerRoom,
    /// Whether the task goes ahead of the backlog.
    pub urgent: bool,
    /// The zones that the task may run in, in order; empty for any.
    pub zones: &'a [ZoneName],
    /// Where other tasks of its job are.
    pub placed: &'a PlacedTasks,
    /// How much the task is expected to disturb, in thousandths.
    pub noise_permille: u64,
}

impl<'a> PlacementRequest<'a> {
    /// A task of `size` that may run in any zone and is not urgent.
    #[must_use]
    pub const fn new(
        size: ResourceSize,
        customer: &'a CustomerRoom,
        placed: &'a PlacedTasks,
    ) -> Self {
        Self {
            job: None,
            size,
            customer,
            urgent: false,
            zones: &[],
            placed,
            noise_permille: 0,
        }
    }

    /// Whether the task may run in `zone`.
    #[must_use]
    pub fn allows(&self, zone: &ZoneName) -> bool {
        self.zones.is_empty() || self.zones.binary_search(zone).is_ok()
    }
}
