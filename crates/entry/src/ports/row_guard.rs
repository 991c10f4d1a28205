//! Precondition of a commit.

/// Precondition that a row has not changed since a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowGuard {
    /// The key of the row.
    pub key: String,
    /// The revision of the row's latest change; 0 when the row must not exist.
    pub revision: u64,
}
