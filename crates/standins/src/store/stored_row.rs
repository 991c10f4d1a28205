//! A row of the store.

/// The value of a key and the metadata that etcd keeps with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// The value, as it was last written.
    pub value: Vec<u8>,
    /// The revision that created the row: the first write since the key was absent.
    pub create_revision: u64,
    /// The revision of the last write to the row.
    pub mod_revision: u64,
    /// The lease with whose expiry the row is deleted; `None` for a row that stays.
    pub lease: Option<i64>,
}
