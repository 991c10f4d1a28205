//! What a watch has to tell.

use crate::store::ChangeEntry;

/// What a watch has to tell at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Nothing yet.
    Quiet,
    /// Changes, the earliest first.
    Changed(Vec<ChangeEntry>),
    /// Changes were forgotten; those from this revision on are known.
    Compacted(u64),
}
