//! A row of the store.

/// A key, its value and the revision of its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The key of the row.
    pub key: String,
    /// The value of the row.
    pub value: Vec<u8>,
    /// The revision of the last write.
    pub revision: u64,
}
