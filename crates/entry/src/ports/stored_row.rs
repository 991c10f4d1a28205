//! A row of the store.

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its latest change.
    pub revision: u64,
}
