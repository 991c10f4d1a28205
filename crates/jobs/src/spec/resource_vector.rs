//! Amounts of resources.

use serde::Deserialize;
use serde::Serialize;

/// Amounts of processor time, memory and accelerators: the needs of a task, or the
/// capacity of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceVector {
    /// Processor time, in thousandths of a processor.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl ResourceVector {
    /// Whether no amount exceeds that in `free`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::ResourceVector;
    ///
    /// let free = ResourceVector { cpu_milli: 4_000, memory_mib: 512, accelerators: 0 };
    /// let need = ResourceVector { cpu_milli: 500, memory_mib: 512, accelerators: 0 };
    /// assert!(need.fits(&free));
    /// assert!(!free.fits(&need));
    /// ```
    #[must_use]
    pub const fn fits(&self, free: &Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// Sum of the amounts, saturating.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference of the amounts, at least 0 each.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
