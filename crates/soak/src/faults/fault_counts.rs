//! How many faults were injected.

use crate::FaultKind;
use sapphirestile_core::SortedTable;

/// How many faults of each kind were injected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    rows: SortedTable<FaultKind, u64>,
}

impl FaultCounts {
    /// Counts one fault.
    pub fn note(&mut self, kind: FaultKind) {
        *self.rows.get_or_insert_with(kind, || 0) += 1;
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        for (kind, count) in other.rows.iter() {
            *self.rows.get_or_insert_with(*kind, || 0) += count;
        }
    }

    /// How many faults of `kind` were injected.
    #[must_use]
    pub fn of(&self, kind: FaultKind) -> u64 {
        self.rows.get(&kind).copied().unwrap_or_default()
    }
}

impl std::fmt::Display for FaultCounts {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "faults:")?;
        for kind in FaultKind::ALL {
            write!(formatter, " {kind:?}={}", self.of(kind))?;
        }
        Ok(())
    }
}
