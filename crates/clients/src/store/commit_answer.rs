//! The result of a commit.

/// Whether a commit was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// Every guard held, and all writes were applied at this revision.
    Done(u64),
    /// A guard did not hold, and nothing was written.
    Beaten,
}
