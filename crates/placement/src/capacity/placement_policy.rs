//! Limits and cost weights of placement.

use sapphirestile_core::ResourceSize;

/// 1,000 thousandths: the full size of a worker.
pub(crate) const WHOLE_PERMILLE: u64 = 1_000;

/// Limits that a worker must meet, and weights of the cost by which workers are compared.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::PlacementPolicy;
///
/// let policy = PlacementPolicy { cpu_bound_permille: 1_250, ..PlacementPolicy::default() };
/// let size = ResourceSize { cpu_milli: 4_000, memory_mb: 100, accelerators: 1 };
/// let allocatable = policy.allocatable(&size);
/// assert_eq!(allocatable.cpu_milli, 5_000);
/// assert_eq!(allocatable.memory_mb, 100);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// The maximum CPU time to allocate, in thousandths of the worker's.
    /// Memory and accelerators are never overcommitted.
    pub cpu_bound_permille: u64,
    /// The maximum measured CPU usage at which a worker still gets non-urgent
    /// tasks, in thousandths of the worker's CPU time.
    pub usage_bound_permille: u64,
    /// Usage samples older than this are ignored, in milliseconds.
    pub usage_age_max_ms: u64,
    /// The maximum total interference of the tasks on a worker, in thousandths.
    /// A task that alone exceeds it is placed only on a worker with negligible
    /// interference.
    pub interference_bound_permille: u64,
    /// The cost of each thousandth of the worker that is allocated.
    pub load_weight: u64,
    /// The cost of each task of the same job in the worker's rack.
    pub rack_weight: u64,
    /// The cost of each task of the same job in the worker's zone.
    pub zone_weight: u64,
    /// The cost of each thousandth of the product of the worker's and the task's
    /// interference.
    pub interference_weight: u64,
    /// The cost of using a worker with accelerators for a task that needs none.
    pub accelerator_weight: u64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            cpu_bound_permille: WHOLE_PERMILLE,
            usage_bound_permille: 850,
            usage_age_max_ms: 120_000,
            interference_bound_permille: 150,
            load_weight: 1,
            rack_weight: 40,
            zone_weight: 10,
            interference_weight: 1,
            accelerator_weight: 2_000,
        }
    }
}

impl PlacementPolicy {
    /// The maximum resources to allocate on a worker of `size`.
    #[must_use]
    pub const fn allocatable(&self, size: &ResourceSize) -> ResourceSize {
        ResourceSize {
            cpu_milli: size.cpu_milli.saturating_mul(self.cpu_bound_permille) / WHOLE_PERMILLE,
            memory_mb: size.memory_mb,
            accelerators: size.accelerators,
        }
    }
}
