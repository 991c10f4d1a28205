//! What a job or a customer used of what it declared.

use crate::RatioHistogram;
use sapphirestile_core::ResourceSize;

/// Ratios of used to declared for each dimension that can be shared out.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageHistory {
    pub(super) cpu: RatioHistogram,
    pub(super) memory: RatioHistogram,
    /// A task needs more memory than this, in mebibytes.
    pub(super) outgrown_mb: u64,
}

impl UsageHistory {
    /// Counts one report.
    pub(super) fn add(&mut self, used: &ResourceSize, declared: &ResourceSize) {
        self.cpu.add(ratio(used.cpu_milli, declared.cpu_milli));
        self.memory.add(ratio(used.memory_mb, declared.memory_mb));
    }
}

fn ratio(used: u64, declared: u64) -> u64 {
    used.saturating_mul(1_000) / declared.max(1)
}
