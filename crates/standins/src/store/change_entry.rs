//! A change that watches are told of.

/// A written or deleted key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeEntry {
    /// The revision of the change.
    pub revision: u64,
    /// The key.
    pub key: Vec<u8>,
}
