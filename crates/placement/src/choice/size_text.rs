//! Display of resource sizes.

use sapphirestile_core::ResourceSize;

/// Displays a size with its units.
pub(crate) struct SizeText<'a>(pub(crate) &'a ResourceSize);

impl std::fmt::Display for SizeText<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} thousandths of a core, {} MiB, {} accelerators",
            self.0.cpu_milli, self.0.memory_mb, self.0.accelerators
        )
    }
}
