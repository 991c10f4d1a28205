//! A change of several rows.

use crate::ports::RowGuard;
use crate::ports::RowWrite;

/// A change of several rows that happens as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreCommit {
    /// What must hold.
    pub guards: Vec<RowGuard>,
    /// What is written.
    pub writes: Vec<RowWrite>,
    /// The keys that are removed.
    pub removals: Vec<String>,
}
