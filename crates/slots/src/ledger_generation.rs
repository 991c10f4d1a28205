//! Version number of a ledger.

use serde::Deserialize;
use serde::Serialize;

/// The version number of a ledger, incremented by each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LedgerGeneration(u64);

impl LedgerGeneration {
    /// The number, which is 0 before the first ledger.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The following generation.
    ///
    /// # Panics
    ///
    /// If the number overflows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.checked_add(1).expect("ledger generation overflowed"))
    }
}
