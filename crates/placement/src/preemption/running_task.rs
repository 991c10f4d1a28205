//! A running task that may be preempted.

use sapphirestile_core::ResourceSize;

/// A running task as a candidate for preemption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The index of its worker in the slice of workers.
    pub worker_index: usize,
    /// The resources allocated to it.
    pub allocated: ResourceSize,
    /// Whether it is urgent; urgent tasks are never preempted.
    pub urgent: bool,
}
