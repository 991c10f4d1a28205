//! One dimension of a size.

use sapphirestile_core::ResourceSize;

/// The dimension of a size that decided something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeDimension {
    /// Processor time.
    Cpu,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerators,
}

impl SizeDimension {
    /// The first dimension in which `size` is larger than `room`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::ResourceSize;
    /// use sapphirestile_placement::SizeDimension;
    ///
    /// let room = ResourceSize { cpu_milli: 1_000, memory_mb: 64, accelerators: 0 };
    /// let size = ResourceSize { cpu_milli: 500, memory_mb: 128, accelerators: 0 };
    /// assert_eq!(SizeDimension::short_of(&size, &room), Some(SizeDimension::Memory));
    /// ```
    #[must_use]
    pub const fn short_of(size: &ResourceSize, room: &ResourceSize) -> Option<Self> {
        if size.accelerators > room.accelerators {
            return Some(Self::Accelerators);
        }
        if size.memory_mb > room.memory_mb {
            return Some(Self::Memory);
        }
        if size.cpu_milli > room.cpu_milli {
            return Some(Self::Cpu);
        }
        None
    }
}

impl std::fmt::Display for SizeDimension {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Cpu => "processor time",
            Self::Memory => "memory",
            Self::Accelerators => "accelerators",
        })
    }
}
