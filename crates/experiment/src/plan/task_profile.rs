//! The actual resource needs of a task.

/// The actual resource needs of a task, known to the simulated cluster only and
/// not to the scheduler.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskProfile {
    /// The maximum CPU usage, in thousandths of a core, before any throttling.
    pub(crate) cpu_milli: f64,
    /// The peak memory usage, in mebibytes.
    pub(crate) memory_mb: f64,
    /// The run time with the whole CPU and no slowdown, in milliseconds.
    pub(crate) run_ms: f64,
    pub(crate) checkpoint_bytes: f64,
}
