//! A request to place one task.

use crate::CustomerQuota;
use crate::PlacedTasks;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::ZoneName;

/// A borrowed view of a waiting task, the input of `choose_worker`.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task's job, which may use a worker reserved for it; `None` excludes
    /// all reserved workers.
    pub job: Option<&'a JobName>,
    /// The resources to allocate to the task.
    pub size: ResourceSize,
    /// The quota of the task's customer.
    pub customer: &'a CustomerQuota,
    /// Whether the task is urgent: the limits on usage and interference do not apply.
    pub urgent: bool,
    /// The zones that the task may run in, sorted; empty for any zone.
    pub zones: &'a [ZoneName],
    /// The racks and zones of the other tasks of its job.
    pub placed: &'a PlacedTasks,
    /// The predicted interference of the task, in thousandths.
    pub interference_permille: u64,
}

impl<'a> PlacementRequest<'a> {
    /// Creates a request for a non-urgent task of `size` that may run in any zone
    /// and causes no interference.
    #[must_use]
    pub const fn new(
        size: ResourceSize,
        customer: &'a CustomerQuota,
        placed: &'a PlacedTasks,
    ) -> Self {
        Self {
            job: None,
            size,
            customer,
            urgent: false,
            zones: &[],
            placed,
            interference_permille: 0,
        }
    }

    /// Whether the task may run in `zone`.
    #[must_use]
    pub fn allows(&self, zone: &ZoneName) -> bool {
        self.zones.is_empty() || self.zones.binary_search(zone).is_ok()
    }
}
