//! How much of a worker may be given away, and what a good place costs.

use sapphirestile_core::ResourceSize;

/// The whole of a worker, in thousandths.
pub(crate) const WHOLE_PERMILLE: u64 = 1_000;

/// Bounds and weights of the choice of a worker.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::RoomPolicy;
///
/// let policy = RoomPolicy { cpu_bound_permille: 1_250, ..RoomPolicy::default() };
/// let size = ResourceSize { cpu_milli: 4_000, memory_mb: 100, accelerators: 1 };
/// let bound = policy.bound_of(&size);
/// assert_eq!(bound.cpu_milli, 5_000);
/// assert_eq!(bound.memory_mb, 100);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomPolicy {
    /// The most processor time to give away, in thousandths of the worker's.
    /// Memory and accelerators are never given away beyond the worker's size.
    pub cpu_bound_permille: u64,
    /// The most processor time that a worker may be seen to use and still get
    /// more work, in thousandths of the worker's.
    pub usage_bound_permille: u64,
    /// A report older than this says nothing, in milliseconds.
    pub usage_age_max_ms: u64,
    /// The most disturbance that the tasks on a worker may add up to, in
    /// thousandths. A task that disturbs more goes only where nothing else does.
    pub noise_bound_permille: u64,
    /// The cost of a worker's share given away, per thousandth.
    pub load_weight: u64,
    /// The cost of each task of the same job in the rack.
    pub rack_weight: u64,
    /// The cost of each task of the same job in the zone.
    pub zone_weight: u64,
    /// The cost of disturbance on the worker, per thousandth.
    pub noise_weight: u64,
    /// The cost of a task without accelerators on a worker that has some.
    pub accelerator_weight: u64,
}

impl Default for RoomPolicy {
    fn default() -> Self {
        Self {
            cpu_bound_permille: WHOLE_PERMILLE,
            usage_bound_permille: 850,
            usage_age_max_ms: 120_000,
            noise_bound_permille: 150,
            load_weight: 1,
            rack_weight: 40,
            zone_weight: 10,
            noise_weight: 1,
            accelerator_weight: 2_000,
        }
    }
}

impl RoomPolicy {
    /// The most that may be given away of a worker of `size`.
    #[must_use]
    pub const fn bound_of(&self, size: &ResourceSize) -> ResourceSize {
        ResourceSize {
            cpu_milli: size.cpu_milli.saturating_mul(self.cpu_bound_permille) / WHOLE_PERMILLE,
            memory_mb: size.memory_mb,
            accelerators: size.accelerators,
        }
    }
}
