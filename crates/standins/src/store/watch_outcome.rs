//! The state of a watch.

use crate::store::KeyChange;

/// What a watch has found at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// No change yet.
    Unchanged,
    /// The changes since the start of the watch, the earliest first; never empty.
    Changed(Vec<KeyChange>),
    /// The watch starts before this revision, but only the changes from this revision on are
    /// still known.
    Compacted(u64),
}
