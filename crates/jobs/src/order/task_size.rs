//! What a task needs of a worker.

use serde::Deserialize;
use serde::Serialize;

/// Processor time, memory and accelerators, of a task or of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSize {
    /// Thousandths of a processor.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl TaskSize {
    /// Whether this size fits into `room`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::TaskSize;
    ///
    /// let room = TaskSize { cpu_milli: 4_000, memory_mib: 512, accelerators: 0 };
    /// let task = TaskSize { cpu_milli: 500, memory_mib: 512, accelerators: 0 };
    /// assert!(task.fits(&room));
    /// assert!(!room.fits(&task));
    /// ```
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// This size and another together.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left of this size without another.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
