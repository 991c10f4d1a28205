//! The store's answer to a commit.

/// Whether a commit took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitAnswer {
    /// Every guard held and every write took effect at this revision.
    Done(u64),
    /// A guard did not hold and nothing was written.
    Beaten,
}
