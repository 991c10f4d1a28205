//! The sequence number of an entry in a cell's journal.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The sequence number of an entry in a cell's journal.
    JournalSequence(u64)
}
