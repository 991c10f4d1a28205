//! What a worker was last seen to use.

use sapphirestile_core::ResourceSize;

/// A usage report with its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageMeasure {
    /// What all tasks on the worker used together.
    pub usage: ResourceSize,
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
}
