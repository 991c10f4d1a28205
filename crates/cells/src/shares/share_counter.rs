//! Monotonic totals of shares.

use serde::Deserialize;
use serde::Serialize;

use sapphirestile_core::ResourceSize;

/// A monotonic total of shares.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::ShareCounter;
/// use sapphirestile_core::ResourceSize;
///
/// let share = ResourceSize { cpu_milli: 500, memory_mb: 64, accelerators: 1 };
/// let before = ShareCounter::default();
/// let after = before.plus(&share);
/// assert!(after.reaches(&before) && !before.reaches(&after));
/// assert_eq!(after.since(&before), share);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareCounter {
    cpu_milli: u64,
    memory_mb: u64,
    accelerators: u64,
}

impl ShareCounter {
    /// The total after adding `share`.
    ///
    /// # Panics
    ///
    /// When a dimension of the total overflows.
    #[must_use]
    pub const fn plus(&self, share: &ResourceSize) -> Self {
        Self {
            cpu_milli: checked_sum(self.cpu_milli, share.cpu_milli),
            memory_mb: checked_sum(self.memory_mb, share.memory_mb),
            accelerators: checked_sum(self.accelerators, share.accelerators as u64),
        }
    }

    /// Whether this total is at least as large as `other` in every dimension.
    #[must_use]
    pub const fn reaches(&self, other: &Self) -> bool {
        self.cpu_milli >= other.cpu_milli
            && self.memory_mb >= other.memory_mb
            && self.accelerators >= other.accelerators
    }

    /// The difference to an `earlier` total.
    ///
    /// # Panics
    ///
    /// When this total does not reach `earlier`: a counter never decreases.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> ResourceSize {
        assert!(
            self.reaches(earlier),
            "a share counter decreased: {self:?} after {earlier:?}"
        );
        let accelerators = self.accelerators - earlier.accelerators;
        ResourceSize {
            cpu_milli: self.cpu_milli - earlier.cpu_milli,
            memory_mb: self.memory_mb - earlier.memory_mb,
            accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
        }
    }
}

const fn checked_sum(total: u64, more: u64) -> u64 {
    total
        .checked_add(more)
        .expect("a share counter overflowed u64")
}
