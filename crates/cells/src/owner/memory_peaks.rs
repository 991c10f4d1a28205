//! Peak memory of running attempts.

use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;

/// Peak memory of each attempt that this owner started, in mebibytes.
///
/// Attempts of a previous owner, and attempts that resume from a checkpoint, are left
/// out: their peak may have passed before they were observed.
#[derive(Clone, Debug, Default)]
pub struct MemoryPeaks {
    peaks_mb: SortedTable<TaskName, u64>,
}

impl MemoryPeaks {
    /// Starts to track the task's new attempt.
    pub fn track(&mut self, task: &TaskName) {
        self.peaks_mb.insert(task.clone(), 0);
    }

    /// Records the current memory use of the task's attempt.
    pub fn record_use(&mut self, task: &TaskName, memory_mb: u64) {
        if let Some(peak_mb) = self.peaks_mb.get_mut(task) {
            *peak_mb = memory_mb.max(*peak_mb);
        }
    }

    /// Peak of the task's attempt; `None` when it is not tracked or no use was reported.
    pub fn peak_mb(&self, task: &TaskName) -> Option<u64> {
        let peak_mb = self.peaks_mb.get(task).copied();
        peak_mb.filter(|peak_mb| *peak_mb > 0)
    }

    /// Stops tracking the task's attempt.
    pub fn forget(&mut self, task: &TaskName) {
        self.peaks_mb.remove(task);
    }
}
