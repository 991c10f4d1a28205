//! A condition of a commit.

/// Holds when the key's last write has this revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreGuard<'a> {
    /// The key.
    pub key: &'a str,
    /// The revision of its last write; 0 when the key must be absent.
    pub revision: u64,
}
