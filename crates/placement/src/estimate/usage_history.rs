//! Observed usage of a job's or a customer's tasks.

use crate::RatioHistogram;
use sapphirestile_core::ResourceSize;

/// Ratios of used to declared resources, and observed memory.
///
/// Accelerators are not estimated.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageHistory {
    /// Ratios of CPU time, from reports of running tasks.
    pub(super) cpu: RatioHistogram,
    /// Ratios of peak memory, from ended tasks only: the memory of a running task may
    /// still grow.
    pub(super) memory: RatioHistogram,
    /// The maximum memory observed for any task, in mebibytes.
    pub(super) peak_mb: u64,
    /// The memory to allocate at least after a task ran short of it, in mebibytes;
    /// 0 if none did.
    pub(super) required_mb: u64,
}

impl UsageHistory {
    /// Adds a report of a running task.
    pub(super) fn add_usage(&mut self, used: &ResourceSize, declared: &ResourceSize) {
        self.cpu.add(ratio(used.cpu_milli, declared.cpu_milli));
        self.peak_mb = self.peak_mb.max(used.memory_mb);
    }

    /// Adds the peak memory of an ended task, in mebibytes.
    pub(super) fn add_peak_memory(&mut self, observed_mb: u64, declared: &ResourceSize) {
        self.memory.add(ratio(observed_mb, declared.memory_mb));
        self.peak_mb = self.peak_mb.max(observed_mb);
    }
}

/// The ratio in thousandths.
fn ratio(used: u64, declared: u64) -> u64 {
    used.saturating_mul(1_000) / declared.max(1)
}
