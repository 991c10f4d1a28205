//! The most memory that running attempts were seen to use.

use sapphirestile_core::SortedTable;
use sapphirestile_core::TaskName;

/// The most memory seen of each attempt that this owner began, in mebibytes.
///
/// An attempt of an owner before, or one that goes on from a checkpoint, is not in
/// it: its task's most may have passed unseen.
#[derive(Clone, Debug, Default)]
pub struct MemoryBook {
    rows: SortedTable<TaskName, u64>,
}

impl MemoryBook {
    /// Notes that the task begins an attempt that is watched.
    pub fn begin(&mut self, task: &TaskName) {
        self.rows.insert(task.clone(), 0);
    }

    /// Notes what the task's attempt was seen to use.
    pub fn note_seen(&mut self, task: &TaskName, memory_mb: u64) {
        if let Some(most_mb) = self.rows.get_mut(task) {
            *most_mb = memory_mb.max(*most_mb);
        }
    }

    /// The most that the task's attempt was seen to use, when anything was seen.
    pub fn most_mb(&self, task: &TaskName) -> Option<u64> {
        let most_mb = self.rows.get(task).copied();
        most_mb.filter(|most_mb| *most_mb > 0)
    }

    /// Forgets the task's attempt.
    pub fn forget(&mut self, task: &TaskName) {
        self.rows.remove(task);
    }
}
