//! An estimated task size.

use crate::EstimateBasis;
use sapphirestile_core::ResourceSize;

/// The resources to allocate to a task, with the basis of the estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeEstimate {
    /// The resources to allocate.
    pub size: ResourceSize,
    /// The basis of the CPU time.
    pub cpu_basis: EstimateBasis,
    /// The basis of the memory.
    pub memory_basis: EstimateBasis,
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
