//! The number of a ledger.

use serde::Deserialize;
use serde::Serialize;

/// The number of a ledger: each change makes the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LedgerGeneration(u64);

impl LedgerGeneration {
    /// The plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The generation after this one.
    ///
    /// # Panics
    ///
    /// When the generations are used up.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.checked_add(1).expect("a generation overflowed"))
    }
}
