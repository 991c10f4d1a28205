//! A task's assignment to a worker, as the scheduler knows it.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;

/// The worker of a task and its resources, as far as the scheduler knows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskAssignment {
    pub(crate) worker: usize,
    pub(crate) allocated: ResourceSize,
    pub(crate) started: MonoTime,
    /// Memory usage in the latest report, in mebibytes; 0 before the first one.
    pub(crate) memory_mb: u64,
    /// The share of its allocated CPU that it may use, in thousandths; 1,000 is not
    /// throttled.
    pub(crate) throttle_permille: u64,
}
