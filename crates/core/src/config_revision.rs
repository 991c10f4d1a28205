//! The revision of the configuration document.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The revision of the configuration document: the store revision of the write that
    /// stored it.
    ConfigRevision(u64)
}
