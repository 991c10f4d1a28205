//! A change that is reported to watches.

/// The write or deletion of one key, as kept for watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    /// The revision of the transaction that made the change.
    pub revision: u64,
    /// The key that was written or deleted.
    pub key: Vec<u8>,
}
