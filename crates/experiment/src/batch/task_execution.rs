//! The execution of a task on a worker.

use sapphirestile_core::ResourceSize;

/// The worker that runs a task, the allocated resources and the state of transfers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskExecution {
    pub(crate) worker: usize,
    pub(crate) allocated: ResourceSize,
    /// Whether its inputs and checkpoint are still being transferred to the worker.
    pub(crate) fetching_inputs: bool,
    /// Whether its checkpoint is being sent out of the zone; the task is paused.
    pub(crate) sending_checkpoint: bool,
    /// The CPU that it may use at most, in thousandths of a core; `None` if it is not
    /// throttled.
    pub(crate) cpu_cap_milli: Option<f64>,
    /// Work done on this worker, in milliseconds of run time.
    pub(crate) done_on_worker_ms: f64,
}
