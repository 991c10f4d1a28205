//! The settings of a worker.

use sapphirestile_core::ResourceSize;

/// The settings of a worker, fixed when it is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSettings {
    /// The total resources for tasks.
    pub size: ResourceSize,
    /// The age of the usage in reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// The CPU time and memory that tasks use, in thousandths of their declared size.
    pub usage_permille: u64,
    /// The work between two regular checkpoints, in milliseconds of run time; 0 for no regular
    /// checkpoints.
    pub checkpoint_every_ms: u64,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            size: ResourceSize {
                cpu_milli: 64_000,
                memory_mb: 250_000,
                accelerators: 0,
            },
            usage_lag_ms: 2_000,
            usage_permille: 700,
            checkpoint_every_ms: 1_000,
        }
    }
}
