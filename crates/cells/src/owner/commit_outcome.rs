//! What became of a batch.

/// What became of a commit, once that is certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The entry is in the journal.
    Done,
    /// The entry is not in the journal: the configuration has moved on.
    ConfigMoved,
}
