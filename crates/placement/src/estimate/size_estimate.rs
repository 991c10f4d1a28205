//! The size to give a task.

use crate::SizeBasis;
use sapphirestile_core::ResourceSize;

/// The size to give a task, and what it rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeEstimate {
    /// The size.
    pub size: ResourceSize,
    /// What the processor time rests on.
    pub cpu_basis: SizeBasis,
    /// What the memory rests on.
    pub memory_basis: SizeBasis,
}

impl std::fmt::Display for SizeEstimate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} thousandths of a core {}, {} MiB {}",
            self.size.cpu_milli, self.cpu_basis, self.size.memory_mb, self.memory_basis
        )
    }
}
