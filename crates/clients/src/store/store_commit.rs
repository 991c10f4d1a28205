//! A conditional, atomic write to the store.

use crate::store::StoreGuard;
use crate::store::StoreWrite;

/// Writes that are applied atomically if all guards hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCommit<'a> {
    /// The conditions, all of which must hold.
    pub guards: &'a [StoreGuard<'a>],
    /// The writes to apply.
    pub writes: &'a [StoreWrite<'a>],
}
