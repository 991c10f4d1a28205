//! Outcomes of commits.

/// Known outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The entry is in the journal.
    Done,
    /// The entry is not in the journal because the configuration has changed.
    ConfigMoved,
}
