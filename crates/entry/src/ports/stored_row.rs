//! A row as read from the store.

/// A row as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The key of the row.
    pub key: String,
    /// The encoded value.
    pub value: Vec<u8>,
    /// The revision of the row's latest change.
    pub revision: u64,
}
