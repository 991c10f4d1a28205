//! What the store holds at a key.

/// A value and where it came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the first write since the key was absent.
    pub create_revision: u64,
    /// The revision of the last write.
    pub mod_revision: u64,
    /// The lease that the entry ends with, if any.
    pub lease: Option<i64>,
}
