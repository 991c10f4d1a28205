//! An amount of processor, memory and accelerators.

use serde::Deserialize;
use serde::Serialize;

/// An amount of resources: the capacity of a worker, the demand of a task or a quota.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ResourceSize;
///
/// let worker = ResourceSize { cpu_milli: 4_000, memory_mb: 8_192, accelerators: 1 };
/// let task = ResourceSize { cpu_milli: 500, memory_mb: 1_024, accelerators: 0 };
/// assert!(task.fits_in(&worker));
/// assert_eq!(worker.minus(&task).cpu_milli, 3_500);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceSize {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub accelerators: u32,
}

impl ResourceSize {
    /// Whether this size is at most `capacity` in each dimension.
    #[must_use]
    pub const fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// The sum of both sizes in each dimension, saturating at the numeric maximum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// This size less `other` in each dimension, saturating at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The minimum of both sizes in each dimension.
    #[must_use]
    pub fn at_most(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The maximum of both sizes in each dimension.
    #[must_use]
    pub fn at_least(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// This size divided by `parts` in each dimension, rounded down.
    ///
    /// # Panics
    ///
    /// If `parts` is zero.
    #[must_use]
    pub const fn divided_by(&self, parts: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli / parts as u64,
            memory_mb: self.memory_mb / parts as u64,
            accelerators: self.accelerators / parts,
        }
    }

    /// This size multiplied by `count` in each dimension, saturating at the numeric
    /// maximum.
    #[must_use]
    pub const fn times(&self, count: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count as u64),
            memory_mb: self.memory_mb.saturating_mul(count as u64),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}
