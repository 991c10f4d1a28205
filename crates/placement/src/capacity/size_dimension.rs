//! One dimension of a resource size.

use sapphirestile_core::ResourceSize;

/// The resource that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeDimension {
    /// CPU time, in thousandths of a core.
    Cpu,
    /// Memory, in mebibytes.
    Memory,
    /// Number of accelerators.
    Accelerators,
}

impl SizeDimension {
    /// The first dimension in which `size` exceeds `available`, or `None` if it fits.
    ///
    /// Accelerators are checked first, then memory, then CPU time.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::ResourceSize;
    /// use sapphirestile_placement::SizeDimension;
    ///
    /// let available = ResourceSize { cpu_milli: 1_000, memory_mb: 64, accelerators: 0 };
    /// let size = ResourceSize { cpu_milli: 500, memory_mb: 128, accelerators: 0 };
    /// assert_eq!(SizeDimension::short_of(&size, &available), Some(SizeDimension::Memory));
    /// ```
    #[must_use]
    pub const fn short_of(size: &ResourceSize, available: &ResourceSize) -> Option<Self> {
        if size.accelerators > available.accelerators {
            return Some(Self::Accelerators);
        }
        if size.memory_mb > available.memory_mb {
            return Some(Self::Memory);
        }
        if size.cpu_milli > available.cpu_milli {
            return Some(Self::Cpu);
        }
        None
    }
}

impl std::fmt::Display for SizeDimension {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Cpu => "CPU time",
            Self::Memory => "memory",
            Self::Accelerators => "accelerators",
        })
    }
}
