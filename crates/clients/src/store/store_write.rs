//! A write of a commit.

/// A write of one key or a deletion of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreWrite<'a> {
    /// Sets the value of a key.
    Put {
        /// The key to write.
        key: &'a str,
        /// The value, at most 1 MiB.
        value: &'a [u8],
        /// The id of the lease whose expiry deletes the row, if any.
        lease: Option<i64>,
    },
    /// Deletes the keys from `first` (inclusive) to `end` (exclusive).
    DeleteRange {
        /// The first key deleted.
        first: &'a str,
        /// The end of the range, exclusive.
        end: &'a str,
    },
}
