//! The store's answer to a commit.

/// The store's answer to a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// It took effect, at this revision.
    Done(u64),
    /// A guard did not hold, and nothing was written.
    Beaten,
}
