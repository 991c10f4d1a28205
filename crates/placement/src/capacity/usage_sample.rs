//! Measured resource usage of a worker.

use sapphirestile_core::ResourceSize;

/// The resource usage in a worker's last report, with the report's age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSample {
    /// The total usage of all tasks on the worker.
    pub usage: ResourceSize,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}
