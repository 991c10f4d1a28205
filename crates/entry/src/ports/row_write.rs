//! A row to write.

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}
