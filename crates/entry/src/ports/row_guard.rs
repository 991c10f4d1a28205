//! A condition of a commit.

/// A row must not have changed since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowGuard {
    /// The key.
    pub key: String,
    /// The revision of its latest change; 0 when there must be no such row.
    pub revision: u64,
}
