//! The place of an entry in the journal of a cell.

use crate::counted_number::counted_number;

counted_number! {
    /// The place of an entry in the journal of a cell.
    JournalSequence(u64)
}
