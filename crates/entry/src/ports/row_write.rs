//! A row to be written.

/// A row to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The key of the row.
    pub key: String,
    /// The encoded value.
    pub value: Vec<u8>,
}
