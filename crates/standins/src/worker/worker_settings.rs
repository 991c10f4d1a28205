//! How a worker is built.

use sapphirestile_core::ResourceSize;

/// How a worker is built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerSettings {
    /// The room for tasks.
    pub size: ResourceSize,
    /// How far reports of usage lag behind, in milliseconds.
    pub usage_lag_ms: u64,
    /// What tasks use of their declared size, in thousandths.
    pub usage_permille: u64,
    /// How much work lies between two checkpoints, in milliseconds of run time.
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
