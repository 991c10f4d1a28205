//! An atomic change of several rows.

use crate::ports::RowGuard;
use crate::ports::RowWrite;

/// A change of several rows that is applied completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreCommit {
    /// The preconditions, all of which must hold.
    pub guards: Vec<RowGuard>,
    /// The rows to create or overwrite.
    pub writes: Vec<RowWrite>,
    /// The keys of the rows to remove.
    pub removals: Vec<String>,
}
