//! A commit: guards and writes.

use crate::store::StoreGuard;
use crate::store::StoreWrite;

/// Guards that must all hold, and writes that then all take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreCommit<'a> {
    /// What must hold.
    pub guards: &'a [StoreGuard<'a>],
    /// What is written.
    pub writes: &'a [StoreWrite<'a>],
}
