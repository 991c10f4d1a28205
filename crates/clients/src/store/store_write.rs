//! A write of a commit.

/// One write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreWrite<'a> {
    /// Puts a value at a key.
    Put {
        /// The key.
        key: &'a str,
        /// The value, at most a megabyte.
        value: &'a [u8],
        /// The lease that the row ends with, if any.
        lease: Option<i64>,
    },
    /// Deletes the keys from `first` up to, and not including, `end`.
    DeleteRange {
        /// The first key deleted.
        first: &'a str,
        /// The first key that stays.
        end: &'a str,
    },
}
