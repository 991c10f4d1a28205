//! Numbers of injected faults.

use crate::FaultKind;
use sapphirestile_core::SortedTable;

/// Number of injected faults of each kind, over one or more runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    counts: SortedTable<FaultKind, u64>,
}

impl FaultCounts {
    /// Counts one more fault of `kind`.
    pub fn increment(&mut self, kind: FaultKind) {
        *self.counts.get_or_insert_with(kind, || 0) += 1;
    }

    /// Adds the counts of another run to these.
    pub fn add(&mut self, other: &Self) {
        for (kind, count) in other.counts.iter() {
            *self.counts.get_or_insert_with(*kind, || 0) += count;
        }
    }

    /// Number of injected faults of `kind`; 0 when there were none.
    #[must_use]
    pub fn count(&self, kind: FaultKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for FaultCounts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "faults:")?;
        for kind in FaultKind::ALL {
            write!(formatter, " {kind:?}={}", self.count(kind))?;
        }
        Ok(())
    }
}
