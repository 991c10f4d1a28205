//! What a job or a customer used of what it declared.

use crate::RatioHistogram;
use sapphirestile_core::ResourceSize;

/// Ratios of used to declared for each dimension that can be shared out.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageHistory {
    /// Processor time of running tasks.
    pub(super) cpu: RatioHistogram,
    /// The most memory of ended tasks; a running one may still grow.
    pub(super) memory: RatioHistogram,
    /// The most memory that a task was seen to use, in mebibytes.
    pub(super) seen_mb: u64,
    /// A task needs more memory than this, in mebibytes.
    pub(super) outgrown_mb: u64,
}

impl UsageHistory {
    /// Counts a report of a running task.
    pub(super) fn add_usage(&mut self, used: &ResourceSize, declared: &ResourceSize) {
        self.cpu.add(ratio(used.cpu_milli, declared.cpu_milli));
        self.seen_mb = self.seen_mb.max(used.memory_mb);
    }

    /// Counts the most memory that an ended task used.
    pub(super) fn add_end(&mut self, most_mb: u64, declared: &ResourceSize) {
        self.memory.add(ratio(most_mb, declared.memory_mb));
        self.seen_mb = self.seen_mb.max(most_mb);
    }
}

fn ratio(used: u64, declared: u64) -> u64 {
    used.saturating_mul(1_000) / declared.max(1)
}
