//! The revision of the configuration: the store's revision of its write.

use crate::counted_number::counted_number;

counted_number! {
    /// The revision of the configuration: the store's revision of its write.
    ConfigRevision(u64)
}
