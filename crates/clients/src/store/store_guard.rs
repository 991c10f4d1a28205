//! A condition of a commit.

/// Holds if the key was last written at this revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreGuard<'a> {
    /// The key to check.
    pub key: &'a str,
    /// The revision of its last write; 0 when the key must be absent.
    pub revision: u64,
}
